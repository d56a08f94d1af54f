/**
 * Bounds the memory of many holders, such as the bodies of all open requests.
 * Nothing waits here: what has no room is refused at once.
 */

/** Largest number of bytes that a small holder has. */
export const SMALL_BYTES = 65_536;
/** Fraction of the room that small holders alone may use. */
const SMALL_RESERVE_FRACTION = 1 / 8;
/** Fraction of the room that small holders leave to large ones. */
const LARGE_RESERVE_FRACTION = 1 / 4;
/** Shortest retry delay, ms: as long as a few short requests take. */
const MIN_RETRY_MILLISECONDS = 250;
/** Longest retry delay before it is lengthened, ms. */
const MAX_RETRY_MILLISECONDS = 5_000;
/** Largest fraction by which a retry delay is lengthened at random. */
const RETRY_SPREAD_FRACTION = 0.5;
/** Weight of the newest time in the average time that bytes are held. */
const NEWEST_WEIGHT = 0.1;

/** Memory that one holder has reserved. */
export interface ByteReservation {
  readonly bytes: number;
  /**
   * Changes the reserved memory to this many bytes; false, without a change, if
   * there is no room. A smaller number always fits.
   */
  tryResize(bytes: number): boolean;
  /** Frees the memory; further calls have no effect. */
  release(now: number): void;
}

/** Bytes of small or of large holders. */
class SizeClass {
  readonly maxBytes: number;
  bytes = 0;
  /** Average time that bytes are held, ms. */
  heldMilliseconds = 0;
  /** Until when the room is promised to those that were told to come back, ms. */
  promisedUntil = -Infinity;
  readonly #bytesByOwner = new Map<string, number>();

  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  findOwned(owner: string): number {
    return this.#bytesByOwner.get(owner) ?? 0;
  }

  add(owner: string | undefined, bytes: number): void {
    this.bytes += bytes;
    if (owner === undefined) return;
    const sum = this.findOwned(owner) + bytes;
    if (sum === 0) this.#bytesByOwner.delete(owner);
    else this.#bytesByOwner.set(owner, sum);
  }

  recordHeld(milliseconds: number): void {
    this.heldMilliseconds = this.heldMilliseconds === 0
      ? milliseconds
      : this.heldMilliseconds +
        NEWEST_WEIGHT * (milliseconds - this.heldMilliseconds);
  }
}

/**
 * Counts reserved bytes and refuses what would pass the bound.
 *
 * Small and large holders each have a part of the room that the others cannot
 * use. The only large holder fits whatever its size. An owner that holds bytes
 * already may hold no more than what then stays free, so one alone gets half of
 * the room, and an owner without any still finds some.
 *
 * @example
 * ```ts
 * const account = new ByteAccount(33_554_432);
 * const room = account.tryReserve(4_000_000, { owner: "north", now });
 * if (room === undefined) return refuse(account.planRetry(4_000_000, { now, random }));
 * room.release(performance.now());
 * ```
 */
export class ByteAccount {
  /** The bound, bytes. */
  readonly maxBytes: number;
  readonly #small: SizeClass;
  readonly #large: SizeClass;

  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
    this.#small = new SizeClass(maxBytes * (1 - LARGE_RESERVE_FRACTION));
    this.#large = new SizeClass(maxBytes * (1 - SMALL_RESERVE_FRACTION));
  }

  /** Reserved bytes of all holders. */
  get bytes(): number {
    return this.#small.bytes + this.#large.bytes;
  }

  /** Reserved bytes of an owner. */
  findOwned(owner: string): number {
    return this.#small.findOwned(owner) + this.#large.findOwned(owner);
  }

  /**
   * Reserves memory, or returns undefined if there is no room. Without an owner
   * the room is not divided.
   */
  tryReserve(
    bytes: number,
    details: { readonly owner: string | undefined; readonly now: number },
  ): ByteReservation | undefined {
    const reservation = this.open(details);
    return reservation.tryResize(bytes) ? reservation : undefined;
  }

  /** Creates a reservation of no bytes, for a holder that grows. */
  open(
    details: { readonly owner: string | undefined; readonly now: number },
  ): ByteReservation {
    const { owner, now: openedAt } = details;
    let held = 0;
    let isReleased = false;
    return {
      get bytes() {
        return held;
      },
      tryResize: (bytes) => {
        if (isReleased || !this.#fits(bytes, held, owner)) return false;
        this.#findClass(held).add(owner, -held);
        this.#findClass(bytes).add(owner, bytes);
        held = bytes;
        return true;
      },
      release: (now) => {
        if (isReleased) return;
        isReleased = true;
        const sizeClass = this.#findClass(held);
        sizeClass.add(owner, -held);
        if (held > 0) sizeClass.recordHeld(now - openedAt);
      },
    };
  }

  /**
   * Returns when a refused holder should come back, ms. Holders are told
   * successive times at the rate at which room becomes free, so that they do not
   * all come back for the same room.
   */
  planRetry(
    bytes: number,
    details: { readonly now: number; readonly random: () => number },
  ): number {
    const { now, random } = details;
    const sizeClass = this.#findClass(bytes);
    const { heldMilliseconds, maxBytes } = sizeClass;
    const step = heldMilliseconds * Math.min(1, bytes / maxBytes);
    const latest = now + MAX_RETRY_MILLISECONDS;
    sizeClass.promisedUntil = Math.min(
      latest,
      Math.max(now, sizeClass.promisedUntil) + step,
    );
    const pause = Math.max(
      MIN_RETRY_MILLISECONDS,
      sizeClass.promisedUntil - now,
    );
    return Math.round(pause * (1 + RETRY_SPREAD_FRACTION * random()));
  }

  #findClass(bytes: number): SizeClass {
    return bytes <= SMALL_BYTES ? this.#small : this.#large;
  }

  /** True if a holder may go from `held` to this many bytes. */
  #fits(bytes: number, held: number, owner: string | undefined): boolean {
    if (bytes <= held) return true;
    const sizeClass = this.#findClass(bytes);
    const own = sizeClass === this.#findClass(held) ? held : 0;
    const others = sizeClass.bytes - own;
    if (sizeClass === this.#large && others === 0) return true;
    const free = Math.min(
      sizeClass.maxBytes - others,
      this.maxBytes - this.bytes + held,
    ) - bytes;
    if (free < 0) return false;
    if (owner === undefined) return true;
    const owned = sizeClass.findOwned(owner) - own;
    return owned === 0 || owned + bytes <= free;
  }
}

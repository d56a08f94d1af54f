/** Admits turns whose outputs are kept, so that they have room until their ends. */

import type { ByteAccount, ByteReservation } from "./byte_account.ts";

/** Expected output before any turn has ended, bytes. */
const INITIAL_BYTES = 1_024;
/** Weight of the newest output in the average. */
const NEWEST_WEIGHT = 0.1;
/** Fraction of the room beyond which no turn begins; the rest is for their growth. */
const ADMISSION_FRACTION = 1 / 2;

/**
 * Reserves the usual output of a turn before it begins. A turn that is refused
 * then has not run; one that finds no room later must be broken off.
 *
 * @example
 * ```ts
 * const outputs = new TurnOutputs(account);
 * const room = outputs.tryOpen(performance.now()); // undefined without room
 * outputs.record(output.length); // when a turn has ended
 * ```
 */
export class TurnOutputs {
  readonly account: ByteAccount;
  #averageBytes: number | undefined;

  constructor(account: ByteAccount) {
    this.account = account;
  }

  /** Output that a turn is expected to have, bytes. */
  get expectedBytes(): number {
    return Math.ceil(this.#averageBytes ?? INITIAL_BYTES);
  }

  /** Reserves memory for a turn that begins; undefined if there is no room. */
  tryOpen(now: number): ByteReservation | undefined {
    const { account, expectedBytes } = this;
    const bytes = account.bytes + expectedBytes;
    const isFull = bytes > ADMISSION_FRACTION * account.maxBytes;
    if (account.bytes > 0 && isFull) return undefined;
    return account.tryReserve(expectedBytes, { owner: undefined, now });
  }

  /** Records the memory that the output of a turn has taken. */
  record(bytes: number): void {
    const average = this.#averageBytes ?? bytes;
    this.#averageBytes = average + NEWEST_WEIGHT * (bytes - average);
  }
}

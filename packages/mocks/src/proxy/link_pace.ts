/** Decides when bytes have passed a link of limited throughput. */

/** Bytes that arrive at a link. */
export interface LinkArrival {
  readonly bytes: number;
  /** Throughput of the link, bytes per second; 0 for no limit. */
  readonly bytesPerSecond: number;
}

/**
 * Paces the bytes of a link by a clock. The time of each arrival is counted from the
 * end of the one before, not from when that was forwarded: a proxy whose timers are
 * late would otherwise have less throughput the busier its machine is.
 *
 * @example
 * ```ts
 * const pace = new LinkPace();
 * pace.findPassTime({ bytes: 4_000, bytesPerSecond: 400_000 }, 0); // 10
 * pace.findPassTime({ bytes: 4_000, bytesPerSecond: 400_000 }, 5); // 20
 * ```
 */
export class LinkPace {
  #freeAt = -Infinity;

  /** Returns when bytes that arrive now have passed, ms. */
  findPassTime({ bytes, bytesPerSecond }: LinkArrival, now: number): number {
    const startsAt = Math.max(now, this.#freeAt);
    if (bytesPerSecond === 0) return startsAt;
    this.#freeAt = startsAt + bytes * 1_000 / bytesPerSecond;
    return this.#freeAt;
  }
}

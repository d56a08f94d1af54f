/** Spreads the returns of refused turns over time. */

/** Bounds of the time after which a refused turn should be sent again, ms. */
const RETRY_MILLISECONDS = { min: 100, max: 10_000 };

/**
 * Gives successive times to refused turns, so that those refused first return first and
 * no more return at once than can start.
 *
 * @example
 * ```ts
 * const times = new ReturnTimes();
 * times.take({ earliest: 300, apart: 10 }, now); // 300
 * times.take({ earliest: 300, apart: 10 }, now); // 310
 * ```
 */
export class ReturnTimes {
  #nextAt = -Infinity;

  /**
   * Returns the time after which a turn should return, ms.
   *
   * @param turn.earliest time until it could be admitted, ms
   * @param turn.apart time between two that start, ms
   */
  take(
    turn: { readonly earliest: number; readonly apart: number },
    now: number,
  ): number {
    const { min, max } = RETRY_MILLISECONDS;
    const earliest = Math.min(max, Math.max(min, turn.earliest));
    let at = Math.max(now + earliest, this.#nextAt);
    // Beyond the bound, times are given again from its middle on: at the bound itself,
    // all would return together.
    if (at > now + max) at = now + max / 2;
    this.#nextAt = at + Math.min(max, turn.apart);
    return Math.round(at - now);
  }
}

/** Mean over time of a number that changes in steps. */

/** Time over which the mean is taken, ms: several turns of a fast engine. */
const MEAN_MILLISECONDS = 1_000;

/**
 * Averages a count over the last second or so, by the time that each value lasted.
 *
 * @example
 * ```ts
 * const open = new UsualCount();
 * open.add(1, 0);
 * open.findMean(10_000); // nearly 1
 * ```
 */
export class UsualCount {
  #count = 0;
  #mean = 0;
  #at = 0;

  /** The count now. */
  get count(): number {
    return this.#count;
  }

  /** Changes the count. */
  add(difference: number, now: number): void {
    this.findMean(now);
    this.#count += difference;
  }

  /** Returns the mean of the count up to now. */
  findMean(now: number): number {
    const milliseconds = now - this.#at;
    if (milliseconds <= 0) return this.#mean;
    const weight = 1 - Math.exp(-milliseconds / MEAN_MILLISECONDS);
    this.#mean += weight * (this.#count - this.#mean);
    this.#at = now;
    return this.#mean;
  }
}

/**
 * Keeps the smallest of the values that were recorded lately, between one and two
 * windows of time.
 *
 * @example
 * ```ts
 * const minimum = new RecentMinimum(60_000);
 * minimum.record(7, now);
 * minimum.value; // 7
 * ```
 */
export class RecentMinimum {
  readonly #windowMilliseconds: number;
  #windowStart = -Infinity;
  #smallest = Infinity;
  /** Smallest value of the window before. */
  #smallestBefore = Infinity;

  constructor(windowMilliseconds: number) {
    this.#windowMilliseconds = windowMilliseconds;
  }

  /** The smallest recent value; Infinity if there is none. */
  get value(): number {
    return Math.min(this.#smallest, this.#smallestBefore);
  }

  /** Records a value. */
  record(value: number, now: number): void {
    if (now - this.#windowStart >= this.#windowMilliseconds) {
      this.#windowStart = now;
      this.#smallestBefore = this.#smallest;
      this.#smallest = Infinity;
    }
    this.#smallest = Math.min(this.#smallest, value);
  }
}

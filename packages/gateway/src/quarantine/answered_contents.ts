/** Remembers which contents of requests have been answered recently. */

/** Contents in each of the two generations. */
const GENERATION_SIZE = 2_048;

/**
 * A bounded set that forgets the contents that were answered least recently.
 *
 * @example
 * ```ts
 * const answered = new AnsweredContents();
 * answered.add("a");
 * answered.has("a"); // true
 * ```
 */
export class AnsweredContents {
  #recent = new Set<string>();
  #earlier = new Set<string>();

  /** Adds the fingerprint of a content. */
  add(content: string): void {
    this.#recent.add(content);
    if (this.#recent.size < GENERATION_SIZE) return;
    this.#earlier = this.#recent;
    this.#recent = new Set();
  }

  /** True if a content was added recently. */
  has(content: string): boolean {
    return this.#recent.has(content) || this.#earlier.has(content);
  }
}

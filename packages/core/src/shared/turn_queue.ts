/** Work that is done one piece after the other. */

/**
 * Runs pieces of work in the order in which they were given.
 *
 * @example
 * ```ts
 * const queue = new TurnQueue();
 * await Promise.all([queue.run(first), queue.run(second)]); // never at once
 * ```
 */
export class TurnQueue {
  #last: Promise<void> = Promise.resolve();

  /** Resolves when the work given last has ended, whether or not it failed. */
  get idle(): Promise<void> {
    return this.#last;
  }

  /** Runs work after all that was given before; rejects if it fails. */
  async run(work: () => Promise<void>): Promise<void> {
    const turn = this.#last.then(work);
    this.#last = turn.catch(() => undefined);
    await turn;
  }
}

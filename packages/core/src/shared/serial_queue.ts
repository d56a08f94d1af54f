/** Runs asynchronous tasks one at a time. */

/**
 * Runs tasks one after another, in the order in which they were added.
 *
 * @example
 * ```ts
 * const queue = new SerialQueue();
 * await Promise.all([queue.run(first), queue.run(second)]); // first, then second
 * ```
 */
export class SerialQueue {
  #last: Promise<void> = Promise.resolve();

  /**
   * Resolves when the task that was added last has ended, also if it failed.
   */
  get idle(): Promise<void> {
    return this.#last;
  }

  /** Runs a task after all earlier ones; rejects if the task fails. */
  async run(task: () => Promise<void>): Promise<void> {
    const current = this.#last.then(task);
    this.#last = current.catch(() => undefined);
    await current;
  }
}

/** Wakes waiting tasks of the same process. */

/**
 * Wakes every task that waits on it. A task that starts to wait after
 * {@linkcode WakeSignal.wake} waits for the next one.
 */
export class WakeSignal {
  #waiting = new Set<() => void>();

  /** Wakes all waiting tasks. */
  wake(): void {
    if (this.#waiting.size === 0) return;
    const woken = this.#waiting;
    this.#waiting = new Set();
    for (const resume of woken) resume();
  }

  /** Resolves at the next wake-up, or after the limit if there is one. */
  wait(limitMilliseconds?: number): Promise<void> {
    return new Promise((resolve) => {
      if (limitMilliseconds === undefined) {
        this.#waiting.add(resolve);
        return;
      }
      const timer = setTimeout(() => {
        this.#waiting.delete(resume);
        resolve();
      }, limitMilliseconds);
      const resume = () => {
        clearTimeout(timer);
        resolve();
      };
      this.#waiting.add(resume);
    });
  }
}

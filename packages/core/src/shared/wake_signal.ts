/** Wakes waiting tasks of the same process. */

import { createDeferred, type Deferred } from "./sleep.ts";

/**
 * Wakes every task that waits on it. A task that starts to wait after
 * {@linkcode WakeSignal.wake} waits for the next one.
 */
export class WakeSignal {
  #next: Deferred<void> = createDeferred<void>();

  /** Wakes all waiting tasks. */
  wake(): void {
    const woken = this.#next;
    this.#next = createDeferred<void>();
    woken.resolve(undefined);
  }

  /** Resolves at the next wake-up, or after the limit if there is one. */
  async wait(limitMilliseconds?: number): Promise<void> {
    const promise = this.#next.promise;
    if (limitMilliseconds === undefined) return await promise;
    const timeout = createDeferred<void>();
    const timer = setTimeout(
      () => timeout.resolve(undefined),
      limitMilliseconds,
    );
    await Promise.race([promise, timeout.promise]);
    clearTimeout(timer);
  }
}

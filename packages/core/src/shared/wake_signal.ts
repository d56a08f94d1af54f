/** A wake-up call between tasks of one process. */

import { createDeferred, type Deferred } from "./sleep.ts";

/**
 * Wakes every task that waits on it. A task that starts to wait after
 * {@linkcode WakeSignal.wake} waits for the next one.
 */
export class WakeSignal {
  #waiting: Deferred<void> = createDeferred<void>();

  /** Wakes all waiting tasks. */
  wake(): void {
    const woken = this.#waiting;
    this.#waiting = createDeferred<void>();
    woken.resolve(undefined);
  }

  /** Resolves at the next wake-up, or after the limit if one is given. */
  async wait(limitMilliseconds?: number): Promise<void> {
    const promise = this.#waiting.promise;
    if (limitMilliseconds === undefined) return await promise;
    const timer = createDeferred<void>();
    const handle = setTimeout(
      () => timer.resolve(undefined),
      limitMilliseconds,
    );
    await Promise.race([promise, timer.promise]);
    clearTimeout(handle);
  }
}

/**
 * Starts the requests of gateways in order of arrival, for a bounded time in each
 * iteration of the event loop.
 *
 * Requests and replication share one thread. Without a bound, an iteration lasts as
 * long as all requests that have arrived take, and each message to another store
 * waits for an iteration or two: a leader with more requests than it can carry
 * commits less the more it is asked.
 */

import { performance } from "node:perf_hooks";
import { setImmediate as yieldToEventLoop } from "node:timers/promises";

/**
 * Time for which requests are started in one iteration of the event loop, ms: short
 * beside the interval of heartbeats.
 */
const SLICE_MILLISECONDS = 5;
/** Started requests after which the list of waiting ones is compacted. */
const COMPACTION_COUNT = 1_000;

/**
 * Requests that wait for their start.
 *
 * @example
 * ```ts
 * const queue = new RequestQueue();
 * await queue.run(() => owner.begin(request, context));
 * ```
 */
export class RequestQueue {
  #waiting: (() => void)[] = [];
  /** Number of entries at the front of `#waiting` that have been started. */
  #started = 0;
  #isDraining = false;

  /** Number of requests that have not been started yet. */
  get length(): number {
    return this.#waiting.length - this.#started;
  }

  /** Starts the work when its turn comes, and returns its result. */
  run<T>(work: () => Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      this.#waiting.push(() => void work().then(resolve, reject));
      if (!this.#isDraining) void this.#drain();
    });
  }

  async #drain(): Promise<void> {
    this.#isDraining = true;
    while (this.length > 0) {
      await this.#startSome(performance.now() + SLICE_MILLISECONDS);
      if (this.length > 0) await yieldToEventLoop();
    }
    this.#isDraining = false;
  }

  async #startSome(until: number): Promise<void> {
    while (this.length > 0 && performance.now() < until) {
      this.#waiting[this.#started++]?.();
      if (this.#started >= COMPACTION_COUNT) {
        this.#waiting = this.#waiting.slice(this.#started);
        this.#started = 0;
      }
      // Lets the started request reach its first wait for something else, so that
      // its work counts in this slice.
      await Promise.resolve();
    }
  }
}

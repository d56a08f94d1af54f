/**
 * Starts the requests of gateways in order of arrival, a bounded number in each
 * iteration of the event loop.
 *
 * Requests and replication share one thread. Without a bound, an iteration lasts as
 * long as all requests that have arrived take, and each message to another store
 * waits for an iteration or two: a leader with more requests than it can carry
 * commits less the more it is asked.
 */

import { setImmediate as yieldToEventLoop } from "node:timers/promises";

/**
 * Requests that are started in one iteration of the event loop. They start together,
 * so that their entries are sent in one message.
 */
const MAX_REQUESTS_PER_ITERATION = 16;

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
  /** Number of requests that were started in this iteration of the event loop. */
  #started = 0;
  #isDraining = false;

  /** Number of requests that have not been started yet. */
  get length(): number {
    return this.#waiting.length;
  }

  /** Starts the work now or when its turn comes, and returns its result. */
  run<T>(work: () => Promise<T>): Promise<T> {
    if (!this.#isDraining) void this.#drain();
    if (this.#started < MAX_REQUESTS_PER_ITERATION && this.length === 0) {
      this.#started++;
      return work();
    }
    return new Promise((resolve, reject) => {
      this.#waiting.push(() => void work().then(resolve, reject));
    });
  }

  /** Starts waiting requests in each iteration until there are none left. */
  async #drain(): Promise<void> {
    this.#isDraining = true;
    this.#started = 0;
    do {
      await yieldToEventLoop();
      const next = this.#waiting.slice(0, MAX_REQUESTS_PER_ITERATION);
      this.#waiting = this.#waiting.slice(next.length);
      this.#started = next.length;
      for (const start of next) start();
    } while (this.#started > 0);
    this.#isDraining = false;
  }
}

/** Decides how many requests a process starts in an iteration of its event loop. */

/**
 * Most requests that are started in one iteration. They start together, so that their
 * entries are sent in one message.
 */
const MAX_REQUESTS = 16;
/** Fewest of them: each iteration has a cost of its own. */
const MIN_REQUESTS = 4;
/**
 * Time of an iteration above which fewer requests are started, ms. A request waits for
 * several iterations: until it is read, until it is replicated, and for its reply.
 */
const MAX_ITERATION_MILLISECONDS = 10;

/**
 * Adapts the number of requests to the time that an iteration takes with them: a slow
 * process starts fewer, so that an urgent request waits behind fewer others.
 *
 * @example
 * ```ts
 * const batch = new RequestBatch();
 * batch.size; // 16
 * batch.recordIteration(40);
 * batch.size; // 4
 * ```
 */
export class RequestBatch {
  #size = MAX_REQUESTS;
  #milliseconds = 0;

  /** Duration of the latest iteration, ms; 0 before the first. */
  get milliseconds(): number {
    return this.#milliseconds;
  }

  /** Number of requests to start in the next iteration. */
  get size(): number {
    return Math.floor(this.#size);
  }

  /** Records how long an iteration took in which requests were started, ms. */
  recordIteration(milliseconds: number): void {
    this.#milliseconds = milliseconds;
    const size = milliseconds > MAX_ITERATION_MILLISECONDS
      ? this.#size * MAX_ITERATION_MILLISECONDS / milliseconds
      : this.#size + 1;
    this.#size = Math.min(MAX_REQUESTS, Math.max(MIN_REQUESTS, size));
  }
}

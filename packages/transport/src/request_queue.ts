/**
 * Starts the requests of gateways and entries, the more urgent first, a bounded number
 * in each iteration of the event loop.
 *
 * Requests and replication share one thread. Without a bound, an iteration lasts as
 * long as all requests that have arrived take, and each message to another store
 * waits for an iteration or two: a leader with more requests than it can carry
 * commits less the more it is asked.
 */

import { performance } from "node:perf_hooks";
import { setImmediate as yieldToEventLoop } from "node:timers/promises";
import { RequestBatch } from "./request_batch.ts";

/**
 * Requests that are taken from the queue in one iteration. Most of those that are
 * refused cost little, and none should wait behind them.
 */
const MAX_TAKEN_PER_ITERATION = 128;
/** Requests taken of which one is the oldest, so that none waits for ever. */
const TAKEN_PER_OLDEST = 8;

/** A request that waits for its start. */
interface WaitingRequest {
  /** Number of the request in order of arrival. */
  readonly sequence: number;
  /** When it was added, ms. */
  readonly addedAt: number;
  /** Starts or refuses the request; returns false if it was refused. */
  readonly start: () => boolean;
}

/** How a request is queued. */
export interface RequestQueueOptions {
  /** Requests with a lower order start first; 0 by default. */
  readonly order?: number;
}

/**
 * Requests that wait for their start, in order of arrival among those of the same
 * order.
 *
 * @example
 * ```ts
 * const queue = new RequestQueue();
 * await queue.run(() => owner.begin(request, context));
 * ```
 */
export class RequestQueue {
  /** By order; only those that have requests. */
  readonly #waiting = new Map<number, WaitingRequest[]>();
  readonly #batch = new RequestBatch();
  #length = 0;
  #sequence = 0;
  /** Number of requests that were started in this iteration of the event loop. */
  #started = 0;
  /** Number of requests that were taken from the queue in this iteration. */
  #taken = 0;
  #takenSinceOldest = 0;
  #isDraining = false;

  /** Number of requests that have not been started yet. */
  get length(): number {
    return this.#length;
  }

  /**
   * Duration of the latest iteration of the event loop in which requests were started,
   * ms: how long what arrives waits until it is read.
   */
  get iterationMilliseconds(): number {
    return this.#batch.milliseconds;
  }

  /**
   * Returns how long the oldest request of an order has waited, ms; 0 if there is none.
   * A new one of this order is expected to wait at least as long.
   */
  findWait(order: number, now: number): number {
    const oldest = this.#waiting.get(order)?.[0];
    return oldest === undefined ? 0 : now - oldest.addedAt;
  }

  /**
   * Refuses or starts the work now or when its turn comes, and returns its result.
   *
   * @param refuse returns the result of work that is not to be started
   */
  run<T>(
    work: () => Promise<T>,
    refuse: () => T | undefined = () => undefined,
    { order = 0 }: RequestQueueOptions = {},
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      this.#add(order, () => {
        const refusal = refuse();
        if (refusal === undefined) void work().then(resolve, reject);
        else resolve(refusal);
        return refusal === undefined;
      });
      if (!this.#isDraining) void this.#drain();
      else if (this.length === 1) this.#startSome();
    });
  }

  #add(order: number, start: () => boolean): void {
    const requests = this.#waiting.get(order) ?? [];
    this.#waiting.set(order, requests);
    const addedAt = performance.now();
    requests.push({ sequence: this.#sequence++, addedAt, start });
    this.#length++;
  }

  /** Starts waiting requests in each iteration until there are none left. */
  async #drain(): Promise<void> {
    this.#isDraining = true;
    do {
      this.#started = 0;
      this.#taken = 0;
      const startedAt = performance.now();
      this.#startSome();
      await yieldToEventLoop();
      this.#batch.recordIteration(performance.now() - startedAt);
    } while (this.length > 0);
    this.#isDraining = false;
  }

  /** Takes requests from the queue up to the bounds of this iteration. */
  #startSome(): void {
    while (
      this.#started < this.#batch.size &&
      this.#taken < MAX_TAKEN_PER_ITERATION
    ) {
      const request = this.#takeNext();
      if (request === undefined) return;
      this.#taken++;
      if (request.start()) this.#started++;
    }
  }

  /** Removes and returns the most urgent request, or the oldest when it is due. */
  #takeNext(): WaitingRequest | undefined {
    const isOldestDue = this.#takenSinceOldest >= TAKEN_PER_OLDEST - 1;
    const order = isOldestDue ? this.#findOldest() : this.#findMostUrgent();
    if (order === undefined) return undefined;
    const requests = this.#waiting.get(order);
    const request = requests?.shift();
    if (requests?.length === 0) this.#waiting.delete(order);
    this.#length--;
    this.#takenSinceOldest = isOldestDue ? 0 : this.#takenSinceOldest + 1;
    return request;
  }

  #findMostUrgent(): number | undefined {
    let first: number | undefined;
    for (const order of this.#waiting.keys()) {
      if (first === undefined || order < first) first = order;
    }
    return first;
  }

  /** Returns the order of the request that has waited for the longest. */
  #findOldest(): number | undefined {
    let oldest: number | undefined;
    let oldestSequence = Infinity;
    for (const [order, [{ sequence }]] of this.#waiting) {
      if (sequence >= oldestSequence) continue;
      oldest = order;
      oldestSequence = sequence;
    }
    return oldest;
  }
}

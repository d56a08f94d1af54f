/** Measures whether the event loop of a process is full. */

import { type EventLoopUtilization, performance } from "node:perf_hooks";

/** Time over which the utilization is measured, ms. */
const INTERVAL_MILLISECONDS = 100;
/**
 * Part of an interval for which the event loop is busy from which it is full. What
 * arrives then waits in the buffers of sockets, where the process does not see it.
 */
const FULL_PART = 0.98;

/**
 * Tells whether the event loop was full in the latest interval.
 *
 * @example
 * ```ts
 * const meter = new LoadMeter();
 * meter.isFull(performance.now()); // false until an interval has ended
 * ```
 */
export class LoadMeter {
  #startedAt = -Infinity;
  #eventLoop: EventLoopUtilization = performance.eventLoopUtilization();
  #isFull = false;

  /** Ends an interval if it is due; returns the result of the latest one. */
  isFull(now: number): boolean {
    const milliseconds = now - this.#startedAt;
    if (milliseconds < INTERVAL_MILLISECONDS) return this.#isFull;
    const eventLoop = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(
      eventLoop,
      this.#eventLoop,
    );
    this.#isFull = utilization >= FULL_PART;
    this.#startedAt = now;
    this.#eventLoop = eventLoop;
    return this.#isFull;
  }
}

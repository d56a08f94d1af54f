/** Detects that the process did not run for a while, for example on a frozen instance. */

import { performance } from "node:perf_hooks";
import type { Child, Logger, Metrics } from "@mallowlift/core";

/** Time between two checks, ms: one wake-up per second costs almost nothing. */
const CHECK_INTERVAL_MILLISECONDS = 1_000;
/** Delay of a check that counts as a stall, ms: much longer than a busy iteration of the event loop. */
const STALL_MILLISECONDS = 1_000;

/** Options of the stall watch. */
export interface StallWatchOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Logs and counts the time during which the process did not run. A frozen
 * process logs nothing, and the gap in its logs would look like idleness.
 *
 * @example
 * ```ts
 * const watch = new StallWatch({ logger, metrics });
 * await watch.start();
 * ```
 */
export class StallWatch implements Child {
  readonly name = "stall watch";
  readonly #options: StallWatchOptions;
  #checkedAt = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StallWatchOptions) {
    this.#options = options;
  }

  /** Starts the periodic checks. */
  start(): Promise<void> {
    this.#checkedAt = performance.now();
    this.#timer = setInterval(
      () => this.check(performance.now()),
      CHECK_INTERVAL_MILLISECONDS,
    ).unref();
    return Promise.resolve();
  }

  /** Stops the periodic checks. */
  stop(): Promise<void> {
    clearInterval(this.#timer);
    return Promise.resolve();
  }

  /**
   * Reports a stall if the check comes much later than scheduled.
   *
   * @param now present time, monotonic, ms
   */
  check(now: number): void {
    const delayMilliseconds = now - this.#checkedAt -
      CHECK_INTERVAL_MILLISECONDS;
    this.#checkedAt = now;
    if (delayMilliseconds < STALL_MILLISECONDS) return;
    this.#options.metrics.processStallSeconds.inc(delayMilliseconds / 1_000);
    this.#options.logger.warn("Stood still", {
      milliseconds: Math.round(delayMilliseconds),
    });
  }
}

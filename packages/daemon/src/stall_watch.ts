/** Notes when the process did not run for a while, as in a frozen instance. */

import { performance } from "node:perf_hooks";
import type { Child, Logger, Metrics } from "@mallowlift/core";

/** Time between two looks, ms: one wake-up a second costs next to nothing. */
const LOOK_MILLISECONDS = 1_000;
/** How much later than due a look tells of a stall, ms: far above a busy turn of the event loop. */
const STALL_MILLISECONDS = 1_000;

/** What the watch works with. */
export interface StallWatchOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Writes a line when the process stood still. A frozen process writes nothing
 * meanwhile, and whoever reads its logs would take the gap for idleness.
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
  #lookedAt = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StallWatchOptions) {
    this.#options = options;
  }

  /** Starts to look. */
  start(): Promise<void> {
    this.#lookedAt = performance.now();
    this.#timer = setInterval(
      () => this.look(performance.now()),
      LOOK_MILLISECONDS,
    ).unref();
    return Promise.resolve();
  }

  /** Ends the looks. */
  stop(): Promise<void> {
    clearInterval(this.#timer);
    return Promise.resolve();
  }

  /** Tells of a stall if the last look is much longer ago than it should be. */
  look(now: number): void {
    const late = now - this.#lookedAt - LOOK_MILLISECONDS;
    this.#lookedAt = now;
    if (late < STALL_MILLISECONDS) return;
    this.#options.metrics.stoodStillSeconds.inc(late / 1_000);
    this.#options.logger.warn("Stood still", {
      milliseconds: Math.round(late),
    });
  }
}

/** Reports when the event loop of a gateway is full. */

import { type EventLoopUtilization, performance } from "node:perf_hooks";
import process from "node:process";
import type { Logger } from "@mallowlift/core";

/** Minimum time between two log lines, ms. */
const LOG_INTERVAL_MILLISECONDS = 1_000;
/** Part of the time in which the event loop is busy from which a line is logged. */
const MIN_LOGGED_PART = 0.9;

/** Logs at most once a second while the event loop is full. */
export class LoadReport {
  readonly #logger: Logger;
  #startedAt = -Infinity;
  #eventLoop: EventLoopUtilization = performance.eventLoopUtilization();
  #processor = process.cpuUsage();

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Ends an interval if it is due; to be called several times a second. */
  update(openCalls: number, now: number): void {
    if (now - this.#startedAt < LOG_INTERVAL_MILLISECONDS) return;
    const eventLoop = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(
      eventLoop,
      this.#eventLoop,
    );
    const { user, system } = process.cpuUsage(this.#processor);
    const spanMilliseconds = now - this.#startedAt;
    this.#startedAt = now;
    this.#eventLoop = eventLoop;
    this.#processor = process.cpuUsage();
    if (utilization < MIN_LOGGED_PART) return;
    this.#logger.info("Event loop full", {
      event_loop_busy: Number(utilization.toFixed(2)),
      processor_ms: Math.round((user + system) / 1_000),
      open_calls: openCalls,
      span_ms: Math.round(spanMilliseconds),
    });
  }
}

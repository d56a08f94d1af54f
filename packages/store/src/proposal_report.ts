/** Reports how many commands a leader decides, and how many were repeated or abandoned. */

import type { Logger, Metrics } from "@mallowlift/core";

/** Minimum time between two log lines, ms. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** A command that was committed or has failed. */
export interface FinishedCommand {
  readonly kind: string;
  /** Time from the proposal to the decision, ms. */
  readonly milliseconds: number;
  /** Number of requests that shared this command while it was in flight. */
  readonly requestCount: number;
  /** True if all callers had given up before the decision. */
  readonly isAbandoned: boolean;
}

/** Counts commands, and logs at most once a second if any was repeated or abandoned. */
export class ProposalReport {
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  /** Start of the current log interval, ms. */
  #startedAt = 0;
  #decided = 0;
  #repeated = 0;
  #abandoned = 0;
  #slowestMilliseconds = 0;

  constructor(parts: { readonly logger: Logger; readonly metrics: Metrics }) {
    this.#logger = parts.logger;
    this.#metrics = parts.metrics;
  }

  /** Counts one finished command. */
  record(command: FinishedCommand, now: number): void {
    const { kind, requestCount, isAbandoned } = command;
    this.#metrics.proposals.inc({ kind });
    this.#metrics.repeatedCommands.inc({ kind }, requestCount - 1);
    if (isAbandoned) this.#metrics.abandonedCommands.inc({ kind });
    this.#decided++;
    this.#repeated += requestCount - 1;
    if (isAbandoned) this.#abandoned++;
    this.#slowestMilliseconds = Math.max(
      this.#slowestMilliseconds,
      command.milliseconds,
    );
    if (now - this.#startedAt >= LOG_INTERVAL_MILLISECONDS) this.#write(now);
  }

  #write(now: number): void {
    const isNotable = this.#repeated > 0 || this.#abandoned > 0;
    if (isNotable) {
      this.#logger.info("Commands repeated or abandoned", {
        decided: this.#decided,
        repeated: this.#repeated,
        unheard: this.#abandoned,
        slowest_ms: Math.round(this.#slowestMilliseconds),
        span_ms: Math.round(now - this.#startedAt),
      });
    }
    this.#startedAt = now;
    this.#decided = 0;
    this.#repeated = 0;
    this.#abandoned = 0;
    this.#slowestMilliseconds = 0;
  }
}

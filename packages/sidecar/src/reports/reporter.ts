/** Reports the sidecar to every replica; one task per replica. */

import {
  ABORTED,
  type Logger,
  type SidecarReport,
  sleep,
  WakeSignal,
} from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";

const ANSWER_MILLISECONDS = 1_000;

/** What the reporter needs. */
export interface ReporterOptions {
  readonly replicas: readonly Caller[];
  readonly reportMilliseconds: number;
  readonly createReport: () => SidecarReport;
  readonly logger: Logger;
}

/** Sends reports in time and at once when something important changes. */
export class Reporter {
  readonly #options: ReporterOptions;
  readonly #stopped = new AbortController();
  readonly #urgent = new WakeSignal();

  constructor(options: ReporterOptions) {
    this.#options = options;
  }

  /** Starts one task per replica. */
  start(): void {
    for (const replica of this.#options.replicas) void this.#reportTo(replica);
  }

  /** Sends a report at once. */
  reportNow(): void {
    this.#urgent.wake();
  }

  /** Ends the tasks. */
  stop(): void {
    this.#stopped.abort(ABORTED);
    this.#urgent.wake();
  }

  async #reportTo(replica: Caller): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      const report = this.#options.createReport();
      const sent = await replica.call("sidecars.report", report, {
        timeoutMilliseconds: ANSWER_MILLISECONDS,
      });
      if (sent.err) {
        await sleep(this.#options.reportMilliseconds / 4, this.#stopped.signal);
      } else await this.#urgent.wait(this.#options.reportMilliseconds);
    }
  }
}

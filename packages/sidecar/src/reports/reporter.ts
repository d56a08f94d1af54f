/** Sends reports of a sidecar to every replica, with one task per replica. */

import {
  ABORTED,
  type Logger,
  type SidecarReport,
  sleep,
  WakeSignal,
} from "@mallowlift/core";
import type { PeerClient } from "@mallowlift/transport";

const CALL_TIMEOUT_MILLISECONDS = 1_000;

/** Options of {@linkcode Reporter}. */
export interface ReporterOptions {
  readonly replicas: readonly PeerClient[];
  readonly reportMilliseconds: number;
  readonly createReport: () => SidecarReport;
  readonly logger: Logger;
}

/** Sends reports at a fixed interval and immediately on request. */
export class Reporter {
  readonly #options: ReporterOptions;
  readonly #stopped = new AbortController();
  readonly #reportRequested = new WakeSignal();

  constructor(options: ReporterOptions) {
    this.#options = options;
  }

  /** Starts one task per replica. */
  start(): void {
    for (const replica of this.#options.replicas) void this.#reportTo(replica);
  }

  /** Sends a report immediately. */
  reportNow(): void {
    this.#reportRequested.wake();
  }

  /** Stops the tasks. */
  stop(): void {
    this.#stopped.abort(ABORTED);
    this.#reportRequested.wake();
  }

  async #reportTo(replica: PeerClient): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      const report = this.#options.createReport();
      const sent = await replica.call("sidecars.report", report, {
        timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      });
      if (sent.err) {
        await sleep(this.#options.reportMilliseconds / 4, this.#stopped.signal);
      } else await this.#reportRequested.wait(this.#options.reportMilliseconds);
    }
  }
}

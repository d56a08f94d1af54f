/**
 * Reports how many commands a leader decides, how many were repeated or abandoned,
 * and whether requests wait for the processor or for a quorum.
 */

import { performance } from "node:perf_hooks";
import process from "node:process";
import type { Logger, Metrics } from "@mallowlift/core";
import { REQUEST_REFUSALS, type RequestRefusal } from "./request_admission.ts";

/** Minimum time between two log lines, ms. */
const LOG_INTERVAL_MILLISECONDS = 1_000;
/** Age of a request when it is read from which a line is logged, ms. */
const OLD_REQUEST_MILLISECONDS = 100;
const BYTES_PER_KILOBYTE = 1_000;

/** A command that was committed or has failed. */
export interface FinishedCommand {
  readonly kind: string;
  /** Time from the proposal to the decision, ms. */
  readonly milliseconds: number;
  /** Number of requests that shared this command while it was in flight. */
  readonly requestCount: number;
  /** True if the command was committed and has changed nothing. */
  readonly isUnchanged: boolean;
  /** True if all callers had given up before the decision. */
  readonly isAbandoned: boolean;
}

/** A request as the report tells it apart. */
export interface ReportedRequest {
  readonly kind: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True if its program should have finished before. */
  readonly isLate: boolean;
}

/** Requests of one priority in a log interval. */
interface PriorityReport {
  requests: number;
  late: number;
  milliseconds: number;
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
  #decisionMilliseconds = 0;
  #requests = 0;
  #requestMilliseconds = 0;
  #abandonedEnds = 0;
  #unchanged = 0;
  readonly #priorities = new Map<number, PriorityReport>();
  #refused = 0;
  #refusedPrograms = 0;
  #oldestMilliseconds = 0;
  #sentBytes = 0;
  #processor = process.cpuUsage();
  #eventLoop = performance.eventLoopUtilization();

  constructor(parts: { readonly logger: Logger; readonly metrics: Metrics }) {
    this.#logger = parts.logger;
    this.#metrics = parts.metrics;
  }

  /** Counts one finished command. */
  record(command: FinishedCommand, now: number): void {
    const { kind, requestCount, isAbandoned, isUnchanged } = command;
    this.#metrics.proposals.inc({ kind });
    this.#metrics.repeatedCommands.inc({ kind }, requestCount - 1);
    if (isAbandoned) this.#metrics.abandonedCommands.inc({ kind });
    this.#decided++;
    this.#repeated += requestCount - 1;
    if (isUnchanged) this.#metrics.unchangedCommands.inc({ kind });
    if (isUnchanged) this.#unchanged++;
    if (isAbandoned) this.#abandoned++;
    if (isAbandoned && kind === "end") this.#abandonedEnds++;
    this.#decisionMilliseconds += command.milliseconds;
    this.#slowestMilliseconds = Math.max(
      this.#slowestMilliseconds,
      command.milliseconds,
    );
    if (now - this.#startedAt >= LOG_INTERVAL_MILLISECONDS) {
      void this.#write(now);
    }
  }

  /** Records how old a request was when it was read, ms. */
  recordAge(request: ReportedRequest, milliseconds: number): void {
    const { kind, priority, isLate } = request;
    this.#metrics.requestAgeSeconds.observe(
      { kind, priority },
      milliseconds / 1_000,
    );
    const report = this.#priorities.get(priority) ??
      { requests: 0, late: 0, milliseconds: 0 };
    this.#priorities.set(priority, report);
    report.requests++;
    if (isLate) report.late++;
    report.milliseconds += milliseconds;
    this.#requests++;
    this.#requestMilliseconds += milliseconds;
    this.#oldestMilliseconds = Math.max(this.#oldestMilliseconds, milliseconds);
  }

  /** Counts a request that was refused because the leader is overloaded. */
  recordRefusal(reason: RequestRefusal): void {
    this.#refused++;
    if (reason === REQUEST_REFUSALS.LIMITED) this.#refusedPrograms++;
  }

  async #write(now: number): Promise<void> {
    const eventLoop = performance.eventLoopUtilization();
    const isNotable = this.#repeated > 0 || this.#abandoned > 0 ||
      this.#refused > 0 || this.#oldestMilliseconds >= OLD_REQUEST_MILLISECONDS;
    const { user, system } = process.cpuUsage(this.#processor);
    const { utilization } = performance.eventLoopUtilization(
      eventLoop,
      this.#eventLoop,
    );
    const fields = {
      decided: this.#decided,
      repeated: this.#repeated,
      unheard: this.#abandoned,
      unheard_ends: this.#abandonedEnds,
      unchanged: this.#unchanged,
      refused: this.#refused,
      refused_programs: this.#refusedPrograms,
      mean_request_ms: Math.round(
        this.#requestMilliseconds / Math.max(1, this.#requests),
      ),
      oldest_request_ms: Math.round(this.#oldestMilliseconds),
      requests_by_priority: this.#describePriorities(),
      processor_ms: Math.round((user + system) / 1_000),
      event_loop_busy: Number(utilization.toFixed(2)),
      mean_ms: Math.round(this.#decisionMilliseconds / this.#decided),
      slowest_ms: Math.round(this.#slowestMilliseconds),
      span_ms: Math.round(now - this.#startedAt),
    };
    this.#startedAt = now;
    this.#decided = 0;
    this.#repeated = 0;
    this.#abandoned = 0;
    this.#slowestMilliseconds = 0;
    this.#decisionMilliseconds = 0;
    this.#requests = 0;
    this.#requestMilliseconds = 0;
    this.#abandonedEnds = 0;
    this.#unchanged = 0;
    this.#priorities.clear();
    this.#refused = 0;
    this.#refusedPrograms = 0;
    this.#oldestMilliseconds = 0;
    this.#processor = process.cpuUsage();
    this.#eventLoop = eventLoop;
    const sentBytes = await this.#takeSentBytes();
    if (!isNotable) return;
    this.#logger.info("Commands repeated or abandoned", {
      ...fields,
      sent_kb: Math.round(sentBytes / BYTES_PER_KILOBYTE),
    });
  }

  /** Describes the requests that were read, such as "0: 120, 4 late, 35 ms". */
  #describePriorities(): string {
    const described: string[] = [];
    for (const [priority, report] of this.#priorities) {
      const { requests, late, milliseconds } = report;
      const meanMilliseconds = Math.round(milliseconds / requests);
      described.push(
        `${priority}: ${requests}, ${late} late, ${meanMilliseconds} ms`,
      );
    }
    return described.sort().join("; ");
  }

  /** Returns the bytes sent to all daemons since the last call. */
  async #takeSentBytes(): Promise<number> {
    const { values } = await this.#metrics.peerBytes.get();
    const total = values.find(({ labels }) => labels.direction === "sent")
      ?.value ?? 0;
    const sentBytes = total - this.#sentBytes;
    this.#sentBytes = total;
    return sentBytes;
  }
}

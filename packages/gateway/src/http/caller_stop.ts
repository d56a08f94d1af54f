/** Ends the requests of callers that a planned stop cannot wait for. */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type CodedError,
  type Logger,
  type Metrics,
  RESULT_CODES,
  ROUTE_KINDS,
  sleep,
} from "@mallowlift/core";
import { createDrainingError, describeAbort } from "../calls/describe_abort.ts";
import type { OpenCall } from "../calls/open_call.ts";
import { failCall } from "../calls/run_plain_call.ts";
import type { CallerDialect } from "../dialect.ts";
import { isRepeatable } from "../routing/repeatable.ts";
import type { Admission } from "../workspaces/key_admission.ts";
import { refuseRequest } from "./refuse_request.ts";
import { StopSchedule } from "./stop_schedule.ts";

/**
 * Time that aborted calls have to answer by themselves, ms. Those that wait for
 * a store are answered afterwards.
 */
const ABORT_MILLISECONDS = 25;
/** Largest number of log lines about ended requests in one stop. */
const MAX_ENDED_LINES = 500;

/** How a stop ended a request. */
export const STOP_OUTCOMES = {
  /** Refused on arrival; it has not run. */
  REFUSED: "refused",
  /** Refused when the final answers were due; it has not run. */
  NOT_RUN: "not_run",
  /** Answered that it may have run. */
  UNKNOWN: "unknown",
  /** Its answer had begun and was broken off. */
  BROKEN_OFF: "broken_off",
} as const;

export type StopOutcome = typeof STOP_OUTCOMES[keyof typeof STOP_OUTCOMES];

/** A request that was read but not admitted yet. */
export interface WaitingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** When it arrived, by the local clock, ms. */
  readonly arrivedAt: number;
}

/** Options of a {@linkcode CallerStop}. */
export interface CallerStopOptions {
  readonly dialect: CallerDialect;
  /** Time that a service usually takes, ms; 0 if it is not known. */
  readonly findUsualTime: (service: string, now: number) => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** One planned stop of the server for callers. */
export class CallerStop {
  readonly schedule: StopSchedule;
  readonly #options: CallerStopOptions;
  readonly #counts: Record<StopOutcome, number> = {
    refused: 0,
    not_run: 0,
    unknown: 0,
    broken_off: 0,
  };
  #accepted = 0;
  #lines = 0;

  constructor(schedule: StopSchedule, options: CallerStopOptions) {
    this.schedule = schedule;
    this.#options = options;
  }

  /** Why a request is not admitted any more; undefined if it can be finished. */
  findRefusal(
    { request, arrivedAt }: WaitingRequest,
    { route }: Admission,
    now: number,
  ): CodedError | undefined {
    const facts = this.#options.dialect.readCall({
      method: request.method ?? "",
      target: request.url ?? "",
      headers: request.rawHeaders,
    });
    // It is refused for its own mistake.
    if (facts.err) return undefined;
    const usualTimes = route.targets.map(({ service }) =>
      this.#options.findUsualTime(service, now)
    );
    const canFinish = this.schedule.canFinish({
      isRepeatable: isRepeatable(route) && route.kind !== ROUTE_KINDS.STREAM,
      deadlineAt: arrivedAt + Math.min(
        facts.val.callerTimeoutMilliseconds,
        route.timeoutMilliseconds,
      ),
      usualMilliseconds: Math.max(0, ...usualTimes),
    }, now);
    return canFinish ? undefined : createDrainingError();
  }

  /** True once the final answers were due. */
  hasAnswered(now: number): boolean {
    return now >= this.schedule.answersAt;
  }

  /** Counts a request that was admitted after the stop began. */
  recordAccepted(): void {
    this.#accepted++;
  }

  /** Counts a request that was refused on arrival. */
  recordRefused(): void {
    this.#count(STOP_OUTCOMES.REFUSED);
  }

  /**
   * Answers all requests whose answer has not begun: nothing of them is sent to
   * an upstream any more, and what runs there loses its connection.
   */
  async answerOpen(
    calls: Iterable<OpenCall>,
    waiting: Iterable<WaitingRequest>,
    now: number,
  ): Promise<void> {
    for (const each of waiting) this.#refuseWaiting(each, now);
    const ended: OpenCall[] = [];
    for (const call of calls) {
      if (call.hasStartedAnswer) continue;
      call.endForStop();
      ended.push(call);
    }
    await sleep(ABORT_MILLISECONDS);
    for (const call of ended) {
      if (!call.hasStartedAnswer) {
        failCall(call, this.#options, describeAbort(call));
      }
      // Its answer had arrived before the abort.
      if (call.summary.code === RESULT_CODES.OK.name) continue;
      this.#recordEnded(
        call,
        call.summary.possibleRuns === 0
          ? STOP_OUTCOMES.NOT_RUN
          : STOP_OUTCOMES.UNKNOWN,
        now,
      );
    }
  }

  /** Breaks off an answer that has begun, so that it does not look complete. */
  breakOff(call: OpenCall, now: number): void {
    this.#recordEnded(call, STOP_OUTCOMES.BROKEN_OFF, now);
    call.disconnect();
  }

  /** Logs what the stop has ended. */
  logEnd(connections: number, now: number): void {
    this.#options.logger.info("Caller server stopped", {
      accepted: this.#accepted,
      ...this.#counts,
      lines_omitted: Math.max(0, this.#lines - MAX_ENDED_LINES),
      connections_closed: connections,
      milliseconds: Math.round(now - this.schedule.beganAt),
    });
  }

  #refuseWaiting(
    { request, response, arrivedAt }: WaitingRequest,
    now: number,
  ): void {
    if (response.headersSent || response.destroyed) return;
    const { dialect } = this.#options;
    const facts = dialect.readCall({
      method: request.method ?? "",
      target: request.url ?? "",
      headers: request.rawHeaders,
    });
    const answer = dialect.writeFailure(createDrainingError());
    // The end of the stop bounds what is read of its body.
    refuseRequest(request, response, { answer, maxBytes: Infinity });
    this.#count(STOP_OUTCOMES.NOT_RUN);
    this.#log({
      call: facts.ok ? facts.val.callId : "",
      program: facts.ok ? facts.val.programId : "",
      route: "",
      outcome: STOP_OUTCOMES.NOT_RUN,
      sends: 0,
      upstream: "",
      age_ms: Math.round(now - arrivedAt),
      status: answer.status,
    });
  }

  #recordEnded(call: OpenCall, outcome: StopOutcome, now: number): void {
    const { facts, route, arrivedAt } = call.parts;
    const { sends, upstream, status } = call.summary;
    this.#count(outcome);
    this.#log({
      call: facts.callId,
      program: facts.programId,
      route: route.name,
      outcome,
      sends,
      upstream,
      age_ms: Math.round(now - arrivedAt),
      left_ms: Math.round(call.findRemainingMilliseconds(now)),
      status,
    });
  }

  #count(outcome: StopOutcome): void {
    this.#counts[outcome]++;
    this.#options.metrics.stopEndedCalls.inc({ outcome });
  }

  #log(fields: Readonly<Record<string, string | number>>): void {
    if (++this.#lines > MAX_ENDED_LINES) return;
    this.#options.logger.warn("Call ended by stop", fields);
  }
}

/** Sends a call to one upstream after the other until one answers it. */

import type { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import {
  type CodedError,
  countRetry,
  RESULT_CODES,
  type ResultCode,
  type Route,
  ROUTE_KINDS,
  sleep,
} from "@mallowlift/core";
import type { RawHeaders } from "../dialect.ts";
import { dropHopHeaders } from "../http/headers.ts";
import type { ConnectionLimits, Upstream } from "../upstreams/upstream.ts";
import { BodyRelay } from "./body_relay.ts";
import type { CallFailure, CallParts } from "./call_parts.ts";
import { isServerFailure } from "./judge_answer.ts";
import type { OpenCall } from "./open_call.ts";
import { type AttemptEnd, type EventSink, runAttempt } from "./run_attempt.ts";

/** Pause before upstreams that are all full are asked again, ms. */
const FULL_PAUSE_MILLISECONDS = 25;
/**
 * Part of a call's time in which it is offered to full upstreams; the rest is
 * left for running it, or for the caller to come back.
 */
const OFFER_PART = 0.5;
/** Attempts that did not run and are made again, besides those that may have run. */
const MAX_REFUSED_SENDS = 4;
/** Connections that are left to health checks and to gateways not yet known. */
const SPARE_GATEWAYS = 1;

/** Times that an answer usually takes after which silence means a failure. */
const SILENT_TIMES = 4;
const LAST_EVENT: ReadonlySet<string> = new Set(["last-event-id"]);
const UPSTREAM_FAILED: CodedError = {
  code: RESULT_CODES.OUTCOME_UNKNOWN,
  message: "The upstream answered that it failed",
};

/** What is sent, and where it would be served best. */
export interface SendOptions {
  readonly body: Buffer;
  /** Upstream that ran the history; empty if there is none. */
  readonly preferredId: string;
  /** Upstream to prefer where this gateway knows no better; empty if none. */
  readonly fallbackId?: string;
  readonly events?: EventSink;
}

/** An answer, or why there is none. */
export type SendEnd =
  | {
    readonly answer: AttemptEnd & { kind: "whole" };
    readonly upstream: string;
  }
  | { readonly failure: CallFailure };

/** Runs a call at an upstream; see {@linkcode SendEnd}. */
export async function sendCall(
  call: OpenCall,
  parts: CallParts,
  options: SendOptions,
): Promise<SendEnd> {
  const { route, arrivedAt } = call.parts;
  const mayRepeat = isRepeatable(route);
  const tried = new Set<string>();
  const offeredUntil = arrivedAt + OFFER_PART * (call.deadlineAt - arrivedAt);
  let runs = 0;
  let refusals = 0;
  let failed: SendEnd | undefined;
  let last: CodedError = {
    code: RESULT_CODES.NO_UPSTREAM,
    message: RESULT_CODES.NO_UPSTREAM.meaning,
  };
  while (!call.signal.aborted) {
    const now = performance.now();
    const upstream = chooseUpstream(call, parts, { options, tried, now });
    if (upstream === undefined) {
      if (now > offeredUntil || runs > 0) break;
      // A refused upstream may be asked again once its rest is over.
      tried.clear();
      await sleep(FULL_PAUSE_MILLISECONDS, call.signal);
      continue;
    }
    const isLast = !mayRepeat || runs + 1 >= route.maxAttempts;
    const end = await runAt(upstream, call, { parts, options, now, isLast });
    call.story.upstream = upstream.instance.id;
    if (end.kind === "whole" && isAnswer(end, call)) {
      const sent = { answer: end, upstream: upstream.instance.id };
      if (isLast || !isFailure(end, call)) return sent;
      // The caller gets this one after all if no other upstream answers.
      failed = sent;
    }
    last = end.kind === "whole" ? UPSTREAM_FAILED : end.error;
    noteFailedAttempt(call, parts, { kind: end.kind, error: last, upstream });
    countRetry(parts.metrics, "gateway", last.code);
    tried.add(upstream.instance.id);
    if (end.kind === "not_run") {
      if (++refusals > MAX_REFUSED_SENDS && now > offeredUntil) break;
      continue;
    }
    runs++;
    if (!mayRepeat || runs >= route.maxAttempts) break;
    // What the caller has seen of an answer cannot be taken back.
    if (call.hasAnswered && !mayResume(call, options)) break;
  }
  if (failed !== undefined && !call.hasLeft) return failed;
  if (call.signal.aborted) last = describeAbort(call, runs);
  return { failure: { error: last, notRun: runs === 0 } };
}

/** True unless the caller has seen the beginning of another answer. */
function isAnswer(
  answer: AttemptEnd & { kind: "whole" },
  call: OpenCall,
): boolean {
  return answer.streamed || !call.hasAnswered;
}

/** True if an upstream answered that it failed, and another may be asked. */
function isFailure(
  answer: AttemptEnd & { kind: "whole" },
  call: OpenCall,
): boolean {
  return isServerFailure(answer.head.status) && !call.hasAnswered;
}

/** True if a call may run at another upstream after one that may have run it. */
function isRepeatable(route: Route): boolean {
  return route.kind === ROUTE_KINDS.IDEMPOTENT || isResumable(route);
}

function isResumable(route: Route): boolean {
  return route.kind === ROUTE_KINDS.STREAM && route.isResumable === true;
}

/** True if a stream that has begun can go on after its last event. */
function mayResume(call: OpenCall, options: SendOptions): boolean {
  return isResumable(call.parts.route) && options.events !== undefined &&
    options.events.lastId !== "";
}

/** One line for each attempt that brought no answer, with what it went by. */
function noteFailedAttempt(
  call: OpenCall,
  parts: CallParts,
  details: {
    readonly kind: AttemptEnd["kind"];
    readonly error: CodedError;
    readonly upstream: Upstream;
  },
): void {
  const { kind, error, upstream } = details;
  if (call.hasLeft) return;
  const now = performance.now();
  parts.logger.info("Attempt failed", {
    call: call.parts.facts.callId,
    program: call.parts.facts.programId,
    upstream: upstream.instance.id,
    outcome: kind,
    code: error.code.name,
    reason: error.message,
    send: call.story.sends,
    running: upstream.running,
    list_age_ms: Math.round(parts.findListAge(now)),
    left_ms: Math.round(call.findLeft(now)),
  });
}

function describeAbort(call: OpenCall, runs: number): CodedError {
  const code: ResultCode = call.hasLeft
    ? RESULT_CODES.CALLER_LEFT
    : runs > 0
    ? RESULT_CODES.CALL_TIMEOUT
    : RESULT_CODES.NO_UPSTREAM;
  return { code, message: code.meaning };
}

function chooseUpstream(
  call: OpenCall,
  parts: CallParts,
  details: {
    readonly options: SendOptions;
    readonly tried: ReadonlySet<string>;
    readonly now: number;
  },
): Upstream | undefined {
  const { facts, route, service } = call.parts;
  const { preferredId, fallbackId = "" } = details.options;
  return parts.upstreams.choose({
    service,
    tried: details.tried,
    preferredId: preferredId || parts.prompts.find(facts.promptParts) ||
      fallbackId,
    objectKey: route.prefersSameUpstream ? facts.objectKey : "",
    isRepeatable: isRepeatable(route),
    gateways: parts.countGateways(),
    now: details.now,
  });
}

async function runAt(
  upstream: Upstream,
  call: OpenCall,
  details: {
    readonly parts: CallParts;
    readonly options: SendOptions;
    readonly now: number;
    /** True if no other attempt may follow one that may have run. */
    readonly isLast: boolean;
  },
): Promise<AttemptEnd> {
  const { parts, options, now } = details;
  const { head, facts, route } = call.parts;
  const left = call.findLeft(now);
  call.story.sends++;
  parts.prompts.note(facts.promptParts, upstream.instance.id);
  return await runAttempt({
    upstream,
    callId: facts.callId,
    dialect: parts.dialect,
    limits: findLimits(call, parts),
    signal: call.signal,
    // Silence alone ends an attempt only where another one may follow.
    silentMilliseconds: details.isLast
      ? left
      : Math.min(left, findSilence(call, parts, now)),
    pauseMilliseconds: details.isLast || !isResumable(route)
      ? Infinity
      : parts.settings.silentMilliseconds,
    events: options.events,
    body: new BodyRelay(call),
    request: {
      method: head.method,
      target: head.target,
      headers: addLastEvent(
        parts.dialect.writeAttempt(head.headers, {
          remainingMilliseconds: Math.max(1, Math.floor(left)),
          instanceId: upstream.instance.id,
          priority: route.priority,
          rank: parts.urgency.rank(route.name, facts.finishMilliseconds),
        }),
        options.events?.lastId ?? "",
      ),
      body: options.body,
    },
  });
}

/**
 * Silence after which a call goes elsewhere, ms. It grows with what the service
 * takes now, so that a queue that all upstreams have does not double their work.
 */
function findSilence(call: OpenCall, parts: CallParts, now: number): number {
  const typical = parts.upstreams.findTypical(call.parts.service, now);
  return Math.max(parts.settings.silentMilliseconds, SILENT_TIMES * typical);
}

/** Asks an upstream to go on after an event that the caller has. */
function addLastEvent(headers: RawHeaders, lastId: string): RawHeaders {
  if (lastId === "") return headers;
  return [...dropHopHeaders(headers, LAST_EVENT), "Last-Event-Id", lastId];
}

function findLimits(call: OpenCall, parts: CallParts): ConnectionLimits {
  const { table, service } = call.parts;
  const all = table.findService(service)?.maxConnections ?? 1;
  const share = Math.floor(all / (parts.countGateways() + SPARE_GATEWAYS));
  return {
    maxConnections: Math.max(1, share),
    connectMilliseconds: parts.settings.connectMilliseconds,
    idleMilliseconds: parts.settings.idleMilliseconds,
  };
}

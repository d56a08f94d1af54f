/** Sends a call to one upstream after another until one answers it. */

import { performance } from "node:perf_hooks";
import {
  type CodedError,
  countRetry,
  RESULT_CODES,
  sleep,
} from "@mallowlift/core";
import { isRepeatable, isResumable } from "../routing/repeatable.ts";
import { QUARANTINE_DECISIONS } from "../quarantine/quarantine.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { CallDependencies, CallFailure } from "./call_dependencies.ts";
import { isServerError } from "./classify_answer.ts";
import { describeAbort } from "./describe_abort.ts";
import { EarlierSends } from "./earlier_sends.ts";
import type { OpenCall } from "./open_call.ts";
import type { AttemptResult } from "./attempt.ts";
import { runCallAttempt, type SendOptions } from "./run_call_attempt.ts";

/** Delay before a retry when no upstream can be chosen, ms. */
const ALL_FULL_DELAY_MILLISECONDS = 25;
/**
 * Fraction of a call's time during which it is offered to full upstreams; the
 * rest is left for running it or for the caller's own retry.
 */
const OFFER_FRACTION = 0.5;
/**
 * Attempts that did not run and are retried in any case; further ones only while
 * the call is still offered to full upstreams.
 */
const MAX_REFUSED_ATTEMPTS = 4;
const UPSTREAM_FAILED: CodedError = {
  code: RESULT_CODES.OUTCOME_UNKNOWN,
  message: "The upstream answered with a server error",
};

/** The answer of a call and its upstream, or why there is none. */
export type SendResult =
  | {
    readonly answer: AttemptResult & { kind: "whole" };
    readonly upstream: string;
  }
  | { readonly failure: CallFailure };

/** Runs a call at the first upstream that answers it. */
export async function sendCall(
  call: OpenCall,
  parts: CallDependencies,
  options: SendOptions,
): Promise<SendResult> {
  const { summary } = call;
  const { route, arrivedAt } = call.parts;
  const mayRepeat = isRepeatable(route);
  const tried = new Set<string>();
  const earlier = new EarlierSends();
  const offeredUntil = arrivedAt +
    OFFER_FRACTION * (call.deadlineAt - arrivedAt);
  let refusals = 0;
  let failedAnswer: SendResult | undefined;
  let lastError: CodedError = {
    code: RESULT_CODES.NO_UPSTREAM,
    message: RESULT_CODES.NO_UPSTREAM.meaning,
  };
  while (!call.signal.aborted) {
    const now = performance.now();
    const decision = parts.quarantine.decide(call, now);
    if (decision.kind === QUARANTINE_DECISIONS.REFUSE) {
      lastError = parts.quarantine.refuse(
        call,
        decision.retryAfterMilliseconds,
      );
      break;
    }
    if (decision.kind === QUARANTINE_DECISIONS.WAIT) {
      if (now > offeredUntil) break;
      await sleep(ALL_FULL_DELAY_MILLISECONDS, call.signal);
      continue;
    }
    const upstream = chooseUpstream(call, parts, { options, tried, now });
    if (upstream === undefined) {
      if (now > offeredUntil || summary.possibleRuns > 0) break;
      const usableAt = parts.upstreams.findUsableAt(call.parts.service, now) ??
        now;
      if (usableAt > offeredUntil) {
        lastError = { ...lastError, retryAfterMilliseconds: usableAt - now };
        break;
      }
      // An upstream that refused may be tried again after its backoff.
      tried.clear();
      await sleep(ALL_FULL_DELAY_MILLISECONDS, call.signal);
      continue;
    }
    const refusal = await parts.sendGate.admit(call);
    if (refusal !== undefined) {
      lastError = refusal;
      break;
    }
    if (call.signal.aborted) break;
    const isLast = !mayRepeat || summary.possibleRuns + 1 >= route.maxAttempts;
    const result = await parts.quarantine.observe(
      call,
      upstream,
      () =>
        runCallAttempt(upstream, call, {
          parts,
          options,
          earlier,
          // The send gate may have waited for the leader.
          now: performance.now(),
          isLast,
        }),
    );
    call.summary.upstream = upstream.instance.id;
    call.summary.received = result.received;
    if (result.kind !== "not_run") call.consumePermit();
    if (result.kind === "whole" && isDeliverable(result, call)) {
      const sentAnswer = { answer: result, upstream: upstream.instance.id };
      if (isLast || !isRetryableFailure(result, call)) return sentAnswer;
      // The caller gets this answer if no other upstream gives a better one.
      failedAnswer = sentAnswer;
    }
    lastError = result.kind === "whole" ? UPSTREAM_FAILED : result.error;
    logFailedAttempt(call, parts, { result, error: lastError, upstream });
    countRetry(parts.metrics, "gateway", lastError.code);
    const isFault = !call.signal.aborted &&
      lastError.code !== RESULT_CODES.QUEUE_FULL;
    if (isFault) options.observer?.recordFailure(upstream.instance.id);
    tried.add(upstream.instance.id);
    if (result.kind === "not_run") {
      if (++refusals > MAX_REFUSED_ATTEMPTS && now > offeredUntil) break;
      continue;
    }
    summary.possibleRuns++;
    if (!mayRepeat || summary.possibleRuns >= route.maxAttempts) break;
    // An answer that the caller has partly received can only be resumed.
    if (call.hasStartedAnswer && !canResume(call, options)) break;
  }
  await parts.quarantine.waitUntilShared(call);
  // A later attempt may have begun to answer the caller.
  const isAnswerable = !call.hasCallerLeft && !call.hasStartedAnswer;
  if (failedAnswer !== undefined && isAnswerable) return failedAnswer;
  if (call.signal.aborted) return { failure: describeAbort(call) };
  const notRun = summary.possibleRuns === 0;
  return { failure: { error: lastError, notRun } };
}

/** True unless the caller has received the beginning of another answer. */
function isDeliverable(
  answer: AttemptResult & { kind: "whole" },
  call: OpenCall,
): boolean {
  return answer.streamed || !call.hasStartedAnswer;
}

/** True for a server error while the caller has received nothing. */
function isRetryableFailure(
  answer: AttemptResult & { kind: "whole" },
  call: OpenCall,
): boolean {
  return isServerError(answer.head.status) && !call.hasStartedAnswer;
}

/** True if a started stream can resume at another upstream. */
function canResume(call: OpenCall, options: SendOptions): boolean {
  return isResumable(call.parts.route) && options.events?.canResume === true;
}

/** Logs an attempt without a usable answer and the state that it was based on. */
function logFailedAttempt(
  call: OpenCall,
  parts: CallDependencies,
  details: {
    readonly result: AttemptResult;
    readonly error: CodedError;
    readonly upstream: Upstream;
  },
): void {
  const { result, error, upstream } = details;
  if (call.hasCallerLeft) return;
  const now = performance.now();
  parts.logger.info("Attempt failed", {
    call: call.parts.facts.callId,
    program: call.parts.facts.programId,
    upstream: upstream.instance.id,
    request: call.fingerprint.caller,
    content: call.fingerprint.content,
    outcome: result.kind,
    cause: result.kind === "lost" ? result.cause : "",
    code: error.code.name,
    reason: error.message,
    send: call.summary.sends,
    running: upstream.running,
    list_age_ms: Math.round(parts.findListAgeMilliseconds(now)),
    left_ms: Math.round(call.findRemainingMilliseconds(now)),
    framing: call.summary.received?.framing ?? "",
    answer_bytes: call.summary.received?.bytes ?? 0,
  });
}

function chooseUpstream(
  call: OpenCall,
  parts: CallDependencies,
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
    preferredId: preferredId || parts.promptMemory.find(facts.promptParts) ||
      fallbackId,
    placedId: details.options.placedId ?? "",
    objectKey: route.prefersSameUpstream ? facts.objectKey : "",
    isRepeatable: isRepeatable(route),
    gateways: parts.countGateways(),
    now: details.now,
  });
}

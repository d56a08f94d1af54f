/** Sends one attempt to its sidecar, and finds out what became of it. */

import {
  type Answer,
  type AttemptKey,
  type DispatchRequest,
  type Outcome,
  type RecoverRequest,
  RESULT_CODES,
  type ResultCode,
  sleep,
} from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";
import { type AttemptEnd, lost, neverRan } from "./attempt_end.ts";

const ASK_MILLISECONDS = 500;
const ASK_AGAIN_MILLISECONDS = 50;

/** Refusals by which a sidecar says that it has not started the attempt. */
const SIDECAR_REFUSALS: readonly ResultCode[] = [
  RESULT_CODES.QUEUE_FULL,
  RESULT_CODES.DRAINING,
  RESULT_CODES.STALE_TERM,
  RESULT_CODES.NO_UPSTREAM,
  RESULT_CODES.NOT_CONNECTED,
];

/** An attempt whose end is wanted. */
export interface AttemptCall {
  readonly caller: Caller;
  readonly key: AttemptKey;
  readonly term: number;
  readonly bootId: string;
  /** How long to wait for the end. */
  readonly limitMilliseconds: number;
  /** How long to look for a sidecar that does not answer. */
  readonly recoverMilliseconds: number;
  /** Aborts when the call is cancelled or the owner no longer leads. */
  readonly signal: AbortSignal;
}

/** Dispatches an attempt whose intent is committed. */
export async function sendAttempt(
  call: AttemptCall,
  request: DispatchRequest,
): Promise<AttemptEnd> {
  const outcome = await call.caller.call("attempts.dispatch", request, {
    timeoutMilliseconds: call.limitMilliseconds,
    signal: call.signal,
  });
  return await judge(call, outcome);
}

/**
 * Finds out what became of an attempt that was sent before, by this owner or
 * an earlier one. The question itself fences the attempt at its sidecar.
 */
export async function recoverAttempt(call: AttemptCall): Promise<AttemptEnd> {
  const request = describeAttempt(call);
  const deadline = Date.now() + call.recoverMilliseconds;
  let error = {
    code: RESULT_CODES.CONNECTION_LOST,
    message: "The sidecar did not answer",
  };
  while (Date.now() < deadline && !call.signal.aborted) {
    const state = await call.caller.call("attempts.recover", request, {
      timeoutMilliseconds: ASK_MILLISECONDS,
      signal: call.signal,
    });
    if (state.err) {
      error = { ...state.val };
      await sleep(ASK_AGAIN_MILLISECONDS, call.signal);
      continue;
    }
    if (state.val.state === "never_ran") {
      return neverRan({
        code: RESULT_CODES.NOT_CONNECTED,
        message: "The attempt did not arrive",
      });
    }
    if (state.val.state === "outcome_unknown") {
      return lost({
        code: RESULT_CODES.OUTCOME_UNKNOWN,
        message: "The sidecar has restarted",
      });
    }
    return await awaitEnd(call, request);
  }
  return lost(error);
}

/** Asks a sidecar to stop an attempt; does not wait for it. */
export function cancelAttempt(call: AttemptCall): void {
  void call.caller.call("attempts.cancel", describeAttempt(call), {
    timeoutMilliseconds: ASK_MILLISECONDS,
  });
}

async function awaitEnd(
  call: AttemptCall,
  request: RecoverRequest,
): Promise<AttemptEnd> {
  const outcome = await call.caller.call("attempts.await", request, {
    timeoutMilliseconds: call.limitMilliseconds,
    signal: call.signal,
  });
  return await judge(call, outcome);
}

async function judge(
  call: AttemptCall,
  outcome: Outcome<Answer>,
): Promise<AttemptEnd> {
  if (outcome.ok) return { kind: "answered", answer: outcome.val };
  const error = outcome.val;
  if (SIDECAR_REFUSALS.includes(error.code)) return neverRan(error);
  if (error.code === RESULT_CODES.CONNECTION_LOST) {
    return await recoverAttempt(call);
  }
  return lost(error);
}

function describeAttempt(call: AttemptCall): RecoverRequest {
  return { key: call.key, term: call.term, bootId: call.bootId };
}

/**
 * Sends an attempt to its sidecar, waits for its end and recovers it after a
 * lost connection.
 */

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
import type { PeerClient } from "@mallowlift/transport";
import { type AttemptEnd, lost, neverRan } from "./attempt_end.ts";

/** Timeout of one recover or cancel request. */
const REQUEST_TIMEOUT_MILLISECONDS = 500;
const RECOVERY_RETRY_MILLISECONDS = 50;

/** Result codes that guarantee that the sidecar has not started the attempt. */
const SIDECAR_REFUSALS: readonly ResultCode[] = [
  RESULT_CODES.QUEUE_FULL,
  RESULT_CODES.DRAINING,
  RESULT_CODES.STALE_TERM,
  RESULT_CODES.NO_UPSTREAM,
  RESULT_CODES.NOT_CONNECTED,
  RESULT_CODES.FRAME_TOO_LARGE,
];

/** An attempt at a sidecar, with the time limits for requests about it. */
export interface AttemptCall {
  readonly caller: PeerClient;
  readonly key: AttemptKey;
  readonly term: number;
  readonly bootId: string;
  /** How long to wait for the end of the attempt. */
  readonly timeoutMilliseconds: number;
  /** How long to retry the recovery while the sidecar does not answer. */
  readonly recoveryMilliseconds: number;
  /**
   * Aborts when the call is cancelled or this replica stops leading the group.
   */
  readonly signal: AbortSignal;
}

/** Sends an attempt whose dispatch is committed, and waits for its end. */
export async function sendAttempt(
  call: AttemptCall,
  request: DispatchRequest,
): Promise<AttemptEnd> {
  const outcome = await call.caller.call("attempts.dispatch", request, {
    timeoutMilliseconds: call.timeoutMilliseconds,
    signal: call.signal,
  });
  return await resolveOutcome(call, outcome);
}

/**
 * Returns the end of an attempt that this or an earlier owner may have sent.
 * The request also fences the attempt: a sidecar that does not know it yet will
 * not start it later.
 */
export async function recoverAttempt(call: AttemptCall): Promise<AttemptEnd> {
  const request = createRecoverRequest(call);
  const deadline = Date.now() + call.recoveryMilliseconds;
  let error = {
    code: RESULT_CODES.CONNECTION_LOST,
    message: "The sidecar did not answer",
  };
  while (Date.now() < deadline && !call.signal.aborted) {
    const state = await call.caller.call("attempts.recover", request, {
      timeoutMilliseconds: REQUEST_TIMEOUT_MILLISECONDS,
      signal: call.signal,
    });
    if (state.err) {
      error = { ...state.val };
      await sleep(RECOVERY_RETRY_MILLISECONDS, call.signal);
      continue;
    }
    if (state.val.state === "never_ran") {
      return neverRan({
        code: RESULT_CODES.NOT_CONNECTED,
        message: "The attempt did not reach the sidecar",
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

/** Requests the cancellation of an attempt without waiting for the reply. */
export function cancelAttempt(call: AttemptCall): void {
  void call.caller.call("attempts.cancel", createRecoverRequest(call), {
    timeoutMilliseconds: REQUEST_TIMEOUT_MILLISECONDS,
  });
}

async function awaitEnd(
  call: AttemptCall,
  request: RecoverRequest,
): Promise<AttemptEnd> {
  const outcome = await call.caller.call("attempts.await", request, {
    timeoutMilliseconds: call.timeoutMilliseconds,
    signal: call.signal,
  });
  return await resolveOutcome(call, outcome);
}

async function resolveOutcome(
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

function createRecoverRequest(call: AttemptCall): RecoverRequest {
  return { key: call.key, term: call.term, bootId: call.bootId };
}

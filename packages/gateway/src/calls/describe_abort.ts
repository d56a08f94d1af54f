/** Describes to its caller why a call was aborted. */

import { type CodedError, RESULT_CODES } from "@mallowlift/core";
import type { CallFailure } from "./call_dependencies.ts";
import { ABORT_REASONS, type OpenCall } from "./open_call.ts";

/**
 * Retry delay of a request that a stopping gateway refuses, ms: other gateways
 * can serve it at once.
 */
export const DRAINING_RETRY_MILLISECONDS = 50;

/** The refusal of a request that a stopping gateway has not sent anywhere. */
export function createDrainingError(): CodedError {
  return {
    code: RESULT_CODES.DRAINING,
    message: "This gateway is stopping and cannot finish the request in time",
    retryAfterMilliseconds: DRAINING_RETRY_MILLISECONDS,
  };
}

/** The failure of an aborted call without an answer. */
export function describeAbort(call: OpenCall): CallFailure {
  const notRun = call.summary.possibleRuns === 0;
  return { error: findError(call, notRun), notRun };
}

function findError(call: OpenCall, notRun: boolean): CodedError {
  if (call.signal.reason === ABORT_REASONS.STOPPING) {
    if (notRun) return createDrainingError();
    const code = RESULT_CODES.OUTCOME_UNKNOWN;
    return { code, message: "The gateway stopped before the call had ended" };
  }
  const code = call.hasCallerLeft
    ? RESULT_CODES.CALLER_LEFT
    : notRun
    ? RESULT_CODES.NO_UPSTREAM
    : RESULT_CODES.CALL_TIMEOUT;
  return { code, message: code.meaning };
}

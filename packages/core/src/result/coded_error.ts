/** Errors with a result code, as returned by every fallible function. */

import { Err, Result } from "ts-results";
import {
  findResultCode,
  RESULT_CODES,
  type ResultCode,
} from "./result_codes.ts";

/** An error with a result code; its message is safe to show to the caller. */
export interface CodedError {
  readonly code: ResultCode;
  /** One sentence in sentence case, without content of the caller. */
  readonly message: string;
  /** Time after which a retry makes sense, ms; missing if none is suggested. */
  readonly retryAfterMilliseconds?: number;
}

/** Result of a fallible function: a value or a coded error. */
export type Outcome<T> = Result<T, CodedError>;

/** A coded error as it is sent over internal connections. */
export interface WireError {
  readonly code: string;
  readonly message: string;
  readonly retryAfterMilliseconds?: number;
}

/**
 * Creates a failed {@linkcode Outcome}.
 *
 * @example
 * ```ts
 * return fail(RESULT_CODES.QUEUE_FULL, "All queues are full", 250);
 * ```
 */
export function fail(
  code: ResultCode,
  message: string,
  retryAfterMilliseconds?: number,
): Err<CodedError> {
  // ts-results formats a stack trace for each error value, which took a third of
  // an entry's processor time. An expected refusal needs no stack trace.
  const limit = Error.stackTraceLimit;
  Error.stackTraceLimit = 0;
  const failure = Err({ code, message, retryAfterMilliseconds });
  Error.stackTraceLimit = limit;
  return failure;
}

/** Encodes an error for an internal connection. */
export function encodeError(error: CodedError): WireError {
  return {
    code: error.code.name,
    message: error.message,
    retryAfterMilliseconds: error.retryAfterMilliseconds,
  };
}

/** Decodes an error that was received over an internal connection. */
export function decodeError(error: WireError): CodedError {
  return {
    code: findResultCode(error.code),
    message: error.message,
    retryAfterMilliseconds: error.retryAfterMilliseconds,
  };
}

/** Converts a thrown value to a coded error with the same message. */
export function toCodedError(thrown: unknown): CodedError {
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return { code: RESULT_CODES.INTERNAL, message };
}

/** The error value that every fallible function of mallowlift returns. */

import { Err, Result } from "ts-results";
import {
  findResultCode,
  RESULT_CODES,
  type ResultCode,
} from "./result_codes.ts";

/** An error with a result code, safe to show to the caller it belongs to. */
export interface CodedError {
  readonly code: ResultCode;
  /** One sentence in sentence case, without caller content. */
  readonly message: string;
  /** Milliseconds after which a retry makes sense, if one does. */
  readonly retryAfterMilliseconds?: number;
}

/** Result of a fallible function. */
export type Outcome<T> = Result<T, CodedError>;

/** A coded error in the form that goes over internal connections. */
export interface WireError {
  readonly code: string;
  readonly message: string;
  readonly retryAfterMilliseconds?: number;
}

/**
 * Makes the failed half of an {@linkcode Outcome}.
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
  // ts-results formats a stack for each error value, which cost a third of an
  // entry's time; a refusal is no surprise and needs none.
  const limit = Error.stackTraceLimit;
  Error.stackTraceLimit = 0;
  const failure = Err({ code, message, retryAfterMilliseconds });
  Error.stackTraceLimit = limit;
  return failure;
}

/** Converts an error for an internal connection. */
export function encodeError(error: CodedError): WireError {
  return {
    code: error.code.name,
    message: error.message,
    retryAfterMilliseconds: error.retryAfterMilliseconds,
  };
}

/** Converts an error read from an internal connection. */
export function decodeError(error: WireError): CodedError {
  return {
    code: findResultCode(error.code),
    message: error.message,
    retryAfterMilliseconds: error.retryAfterMilliseconds,
  };
}

/** Converts anything thrown into a coded error, keeping its message. */
export function describeThrown(thrown: unknown): CodedError {
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return { code: RESULT_CODES.INTERNAL, message };
}

/** Turns outcomes into HTTP answers. */

import type { ResponseObject, ResponseToolkit } from "@hapi/hapi";
import { type CodedError, countRefusal, type Metrics } from "@mallowlift/core";

const MILLISECONDS_PER_SECOND = 1_000;

/** A refusal or failure as callers and operators see it. */
export interface ErrorBody {
  readonly error: {
    readonly code: number;
    readonly name: string;
    readonly message: string;
    /** True if the call has not run and will not run because of this request. */
    readonly not_run: boolean;
    /** Who says so: the entry itself, or the owner of the program. */
    readonly by: "entry" | "owner";
    readonly retry_after_ms?: number;
  };
}

/** Makes the body of a refusal or failure. */
export function createErrorBody(
  error: CodedError,
  by: "entry" | "owner",
): ErrorBody {
  const { code, message, retryAfterMilliseconds } = error;
  return {
    error: {
      code: code.number,
      name: code.name,
      message,
      not_run: code.notRun,
      by,
      ...retryAfterMilliseconds === undefined
        ? {}
        : { retry_after_ms: retryAfterMilliseconds },
    },
  };
}

/** Answers with a refusal or failure. */
export function answerError(
  toolkit: ResponseToolkit,
  error: CodedError,
  by: "entry" | "owner" = "entry",
): ResponseObject {
  const response = toolkit.response(createErrorBody(error, by)).code(
    error.code.httpStatus,
  );
  if (error.retryAfterMilliseconds !== undefined) {
    const seconds = Math.ceil(
      error.retryAfterMilliseconds / MILLISECONDS_PER_SECOND,
    );
    response.header("retry-after", String(seconds));
  }
  return response;
}

/** Answers with a value. */
export function answerValue(
  toolkit: ResponseToolkit,
  value: object,
  status = 200,
): ResponseObject {
  return toolkit.response(value).code(status);
}

/** Answers with a refusal of this entry's own, and counts it. */
export function refuse(
  parts: { readonly metrics: Metrics },
  toolkit: ResponseToolkit,
  error: CodedError,
): ResponseObject {
  countRefusal(parts.metrics, "entry", error.code);
  return answerError(toolkit, error);
}

/** Creates HTTP responses from values and errors. */

import type { ResponseObject, ResponseToolkit } from "@hapi/hapi";
import { type CodedError, countRefusal, type Metrics } from "@mallowlift/core";

const MILLISECONDS_PER_SECOND = 1_000;

/** Response body of a request that was rejected or failed. */
export interface ErrorBody {
  readonly error: {
    readonly code: number;
    readonly name: string;
    readonly message: string;
    /** True if this request has not run a call and will not run one later. */
    readonly not_run: boolean;
    /** Where the error comes from: this entry or the owner of the program. */
    readonly by: "entry" | "owner";
    readonly retry_after_ms?: number;
  };
}

/** Creates the response body of an error. */
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

/** Answers with an error, and with a `Retry-After` header if it has a delay. */
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

/** Answers with a value as JSON. */
export function answerValue(
  toolkit: ResponseToolkit,
  value: object,
  status = 200,
): ResponseObject {
  return toolkit.response(value).code(status);
}

/** Rejects a request with an error of this entry, and counts the rejection. */
export function refuse(
  context: { readonly metrics: Metrics },
  toolkit: ResponseToolkit,
  error: CodedError,
): ResponseObject {
  countRefusal(context.metrics, "entry", error.code);
  return answerError(toolkit, error);
}

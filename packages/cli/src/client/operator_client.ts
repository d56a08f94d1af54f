/** Client for the operators' HTTP interface of an entry or a gateway. */

import type { IncomingMessage } from "node:http";
import Wreck from "@hapi/wreck";
import {
  fail,
  findResultCode,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";

const TIMEOUT_MILLISECONDS = 15_000;

/** URL of an entry or a gateway, and the operator token to send. */
export interface OperatorAccess {
  readonly entry: string;
  readonly token: string;
}

/** An HTTP request from an operator. */
export interface OperatorRequest {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: object;
}

interface ErrorBody {
  readonly error?: { readonly name?: string; readonly message?: string };
}

/** Sends requests to one entry or gateway. */
export class OperatorClient {
  readonly #access: OperatorAccess;

  constructor(access: OperatorAccess) {
    this.#access = access;
  }

  /**
   * Sends a request and reads the JSON response. An error response becomes an
   * error with the result code that it names.
   */
  async send<T>(request: OperatorRequest): Promise<Outcome<T>> {
    const response = await this.open(request);
    if (response.err) return response;
    const text = String(
      await Wreck.read(response.val, { timeout: TIMEOUT_MILLISECONDS }),
    );
    return readBody<T>(response.val.statusCode ?? 0, text);
  }

  /** Sends a request and returns the response before its body is read, for streams. */
  async open(request: OperatorRequest): Promise<Outcome<IncomingMessage>> {
    const { entry, token } = this.#access;
    try {
      const response = await Wreck.request(
        request.method,
        `${entry}${request.path}`,
        {
          timeout: TIMEOUT_MILLISECONDS,
          headers: {
            authorization: `Bearer ${token}`,
            ...request.body === undefined
              ? {}
              : { "content-type": "application/json" },
          },
          payload: request.body === undefined
            ? undefined
            : JSON.stringify(request.body),
        },
      );
      return Ok(response);
    } catch (thrown) {
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      return fail(
        RESULT_CODES.NOT_CONNECTED,
        `No response from ${entry}: ${message}`,
      );
    }
  }
}

/**
 * Parses the body of a response. A status other than 2xx, or a body that is not
 * JSON, becomes an error with a result code.
 */
export function readBody<T>(status: number, text: string): Outcome<T> {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return fail(
      RESULT_CODES.INTERNAL,
      `The entry responded with status ${status} and a body that is not JSON`,
    );
  }
  if (status >= 200 && status < 300) return Ok(body as T);
  const { error } = body as ErrorBody;
  const message = error?.message ?? `The entry responded with status ${status}`;
  return fail(findResultCode(error?.name ?? ""), message);
}

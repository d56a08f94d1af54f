/** The operators' HTTP interface, as mallowctl uses it. */

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

/** Where and as whom to ask. */
export interface OperatorAccess {
  readonly entry: string;
  readonly token: string;
}

/** A request of an operator. */
export interface OperatorRequest {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: object;
}

interface RefusalBody {
  readonly error?: { readonly name?: string; readonly message?: string };
}

/** Asks one entry. */
export class OperatorClient {
  readonly #access: OperatorAccess;

  constructor(access: OperatorAccess) {
    this.#access = access;
  }

  /** Sends a request; a refusal keeps its result code. */
  async send<T>(request: OperatorRequest): Promise<Outcome<T>> {
    const opened = await this.open(request);
    if (opened.err) return opened;
    const text = String(
      await Wreck.read(opened.val, { timeout: TIMEOUT_MILLISECONDS }),
    );
    return readBody<T>(opened.val.statusCode ?? 0, text);
  }

  /** Sends a request and returns the answer unread, for streams. */
  async open(request: OperatorRequest): Promise<Outcome<IncomingMessage>> {
    const { entry, token } = this.#access;
    try {
      const answer = await Wreck.request(
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
      return Ok(answer);
    } catch (thrown) {
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      return fail(
        RESULT_CODES.NOT_CONNECTED,
        `No answer from ${entry}: ${message}`,
      );
    }
  }
}

/** Reads an answer; anything but a success becomes a coded error. */
export function readBody<T>(status: number, text: string): Outcome<T> {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return fail(
      RESULT_CODES.INTERNAL,
      `The entry answered with status ${status} and no JSON`,
    );
  }
  if (status >= 200 && status < 300) return Ok(body as T);
  const { error } = body as RefusalBody;
  const message = error?.message ?? `The entry answered with status ${status}`;
  return fail(findResultCode(error?.name ?? ""), message);
}

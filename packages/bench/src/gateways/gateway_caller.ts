/** Calls a gateway in the native dialect, for tests. */

import { type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";

/** A request of a caller. */
export interface CallRequest {
  readonly callId: string;
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
  /** Open connection to use; by default a new one. */
  readonly connection?: Socket;
  /** Aborts the request before the answer is complete. */
  readonly signal?: AbortSignal;
}

/** The result of a call, as its caller sees it. */
export interface CallResult {
  /** HTTP status; 0 if no response head arrived. */
  readonly status: number;
  readonly body: string;
  /** True if the answer is complete by the rules of HTTP. */
  readonly whole: boolean;
  /** True if a length or chunks mark the end of the answer. */
  readonly isFramed?: boolean;
  /** The retry-after header, s. */
  readonly retryAfter: string | undefined;
  /** The www-authenticate header of a call that was not authenticated. */
  readonly challenge?: string | undefined;
}

/** Makes one request on a connection of its own; never rejects, also if it fails. */
export function callGateway(
  url: string,
  call: CallRequest,
): Promise<CallResult> {
  const { connection } = call;
  return new Promise((resolve) => {
    const noAnswer = {
      status: 0,
      body: "",
      whole: false,
      retryAfter: undefined,
    };
    const outgoing = request(`${url}${call.path}`, {
      method: "POST",
      agent: false,
      ...(connection === undefined
        ? {}
        : { createConnection: () => connection }),
      signal: call.signal,
      headers: { host: "a.example", "x-call-id": call.callId, ...call.headers },
    }, (answer: IncomingMessage) => {
      let body = "";
      answer.on("data", (bytes) => body += String(bytes));
      answer.on("error", () => undefined);
      answer.on("close", () =>
        resolve({
          status: answer.statusCode ?? 0,
          body,
          whole: answer.complete,
          isFramed: answer.headers["content-length"] !== undefined ||
            answer.headers["transfer-encoding"] !== undefined,
          retryAfter: answer.headers["retry-after"],
          challenge: answer.headers["www-authenticate"],
        }));
    });
    outgoing.on("error", () => resolve(noAnswer));
    outgoing.end(call.body ?? "");
  });
}

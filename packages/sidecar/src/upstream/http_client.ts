/** Small HTTP helpers over wreck. */

import { Agent } from "node:http";
import type { IncomingMessage } from "node:http";
import Wreck from "@hapi/wreck";

const MAX_ANSWER_BYTES = 64 * 1_024 * 1_024;

/** An HTTP answer, read whole. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: string;
}

/** What to send. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly payload?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
}

/** Requests to one base address over kept-alive connections. */
export class HttpClient {
  readonly #baseUrl: string;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity });
  /** Calls that must not repeat go over new connections: a reused one may be half closed. */
  readonly #freshAgent = new Agent({ keepAlive: false, maxSockets: Infinity });

  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
  }

  /** Sends a request and returns the answer as soon as its head is there. */
  async open(
    request: HttpRequest & { readonly fresh?: boolean },
  ): Promise<IncomingMessage> {
    const options = {
      baseUrl: this.#baseUrl,
      payload: request.payload,
      headers: {
        ...request.payload === undefined
          ? {}
          : { "content-type": "application/json" },
        ...request.headers,
      },
      agent: request.fresh ? this.#freshAgent : this.#agent,
      ...request.timeoutMilliseconds === undefined
        ? {}
        : { timeout: request.timeoutMilliseconds },
    };
    const sending = Wreck.request(request.method, request.path, options);
    const abort = () =>
      sending.req.destroy(new Error("The request was cancelled"));
    request.signal?.addEventListener("abort", abort, { once: true });
    if (request.signal?.aborted) abort();
    const answer = await sending;
    answer.on(
      "close",
      () => request.signal?.removeEventListener("abort", abort),
    );
    return answer;
  }

  /** Sends a request and reads the whole answer. */
  async send(
    request: HttpRequest & { readonly fresh?: boolean },
  ): Promise<HttpAnswer> {
    const answer = await this.open(request);
    const timeout = request.timeoutMilliseconds === undefined
      ? {}
      : { timeout: request.timeoutMilliseconds };
    const body = await Wreck.read(answer, {
      ...timeout,
      maxBytes: MAX_ANSWER_BYTES,
    });
    return { status: answer.statusCode ?? 0, body: String(body) };
  }
}

/** True if the error says that no connection was made, so nothing was sent. */
export function isConnectionRefused(thrown: unknown): boolean {
  let error = thrown as
    | { code?: string; data?: unknown; cause?: unknown }
    | undefined;
  for (
    let depth = 0;
    depth < 4 && error !== undefined && error !== null;
    depth++
  ) {
    if (error.code === "ECONNREFUSED") return true;
    error = (error.data ?? error.cause) as typeof error;
  }
  return false;
}

/** HTTP client for an upstream, based on wreck. */

import { Agent } from "node:http";
import type { IncomingMessage } from "node:http";
import Wreck from "@hapi/wreck";

const MAX_RESPONSE_BYTES = 64 * 1_024 * 1_024;

/** An HTTP response with its complete body. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
}

/** An HTTP request to send. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly payload?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
}

/** Sends requests to one base address over keep-alive connections. */
export class HttpClient {
  readonly #baseUrl: string;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity });
  /**
   * For calls that must not be retried: a reused connection may be half
   * closed, so they use a new one.
   */
  readonly #unpooledAgent = new Agent({
    keepAlive: false,
    maxSockets: Infinity,
  });

  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
  }

  /** Sends a request and returns the response once its head has arrived. */
  async open(
    request: HttpRequest & { readonly usesNewConnection?: boolean },
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
      agent: request.usesNewConnection ? this.#unpooledAgent : this.#agent,
      ...request.timeoutMilliseconds === undefined
        ? {}
        : { timeout: request.timeoutMilliseconds },
    };
    const pendingResponse = Wreck.request(
      request.method,
      request.path,
      options,
    );
    const abort = () =>
      pendingResponse.req.destroy(new Error("The request was cancelled"));
    request.signal?.addEventListener("abort", abort, { once: true });
    if (request.signal?.aborted) abort();
    const response = await pendingResponse;
    response.on(
      "close",
      () => request.signal?.removeEventListener("abort", abort),
    );
    return response;
  }

  /** Sends a request and reads the complete response. */
  async send(
    request: HttpRequest & { readonly usesNewConnection?: boolean },
  ): Promise<HttpResponse> {
    const response = await this.open(request);
    const timeout = request.timeoutMilliseconds === undefined
      ? {}
      : { timeout: request.timeoutMilliseconds };
    const body = await Wreck.read(response, {
      ...timeout,
      maxBytes: MAX_RESPONSE_BYTES,
    });
    return { status: response.statusCode ?? 0, body: String(body) };
  }
}

/** Returns true if the connection was refused, so no request was sent. */
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

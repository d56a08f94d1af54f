/** HTTP client for an upstream, based on wreck. */

import type { Buffer } from "node:buffer";
import { Agent, type ClientRequest, type IncomingMessage } from "node:http";
import { ByteCollector } from "@mallowlift/core";
import Wreck from "@hapi/wreck";

/** Largest answer to a call, bytes: the default size of an internal frame. */
export const MAX_ANSWER_BYTES = 16_777_216;
/** Largest response to any other request, bytes. */
const MAX_REPORT_BYTES = 8_388_608;
/** Below the maximum delay of a Node.js timer, 2^31 - 1 ms. */
const MAX_TIMEOUT_MILLISECONDS = 2_000_000_000;
/**
 * Bytes besides the body that a response may have in any case, and in addition
 * for each byte of its body. Some are counted before the body that they frame.
 */
const OVERHEAD_BYTES = 131_072;
const OVERHEAD_PER_BODY_BYTE = 2;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
const RESPONSE_START = "HTTP/1.";

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
  /** Largest body of the response, bytes; 8 MiB by default. */
  readonly maxBytes?: number;
  readonly signal?: AbortSignal;
}

/** A response whose body has not been read. */
export interface LimitedResponse {
  readonly response: IncomingMessage;
  /** Gets the parts of the body as they are read. */
  readonly limit: ResponseLimit;
}

/**
 * Ends a request whose response consists of too much besides its body. Node.js
 * skips any number of empty lines, interim responses and digits of a chunk size.
 */
export class ResponseLimit {
  #receivedBytes = 0;
  #bodyBytes = 0;
  #isReset = false;
  #isTooLong = false;

  constructor(request: ClientRequest) {
    request.on("error", (error: ParseError) => {
      this.#isTooLong ||= isFollowedByBody(error);
    });
    request.once("socket", (socket) => {
      // Node.js may report a reset that comes with the last bytes as an end.
      socket.once(
        "end",
        () => this.#isReset = socket.remoteAddress === undefined,
      );
      socket.on("data", (bytes: Buffer) => {
        this.#receivedBytes += bytes.length;
        if (this.#receivedBytes - this.#bodyBytes <= this.#allowedOverhead) {
          return;
        }
        request.destroy(
          new Error("The response has too much besides its body"),
        );
      });
    });
  }

  /** True if the connection was reset, which completes no response. */
  get isReset(): boolean {
    return this.#isReset;
  }

  /**
   * True if bytes came behind the response that begin no other one: its
   * Content-Length may have lost digits.
   */
  get isTooLong(): boolean {
    return this.#isTooLong;
  }

  get #allowedOverhead(): number {
    return OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * this.#bodyBytes;
  }

  /** Adds a part of the body that was read. */
  addBody(bytes: Buffer): void {
    this.#bodyBytes += bytes.length;
  }
}

/**
 * Sends requests to one base address, each over a connection of its own: what
 * an upstream sends after a response would be taken for the response to the
 * next request on the connection.
 */
export class HttpClient {
  readonly #baseUrl: string;
  readonly #agent = new Agent({ keepAlive: false, maxSockets: Infinity });

  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
  }

  /** Sends a request and returns the response once its head has arrived. */
  async open(request: HttpRequest): Promise<LimitedResponse> {
    const options = {
      baseUrl: this.#baseUrl,
      payload: request.payload,
      headers: {
        ...request.payload === undefined
          ? {}
          : { "content-type": "application/json" },
        ...request.headers,
      },
      agent: this.#agent,
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
    const limit = new ResponseLimit(pendingResponse.req);
    request.signal?.addEventListener("abort", abort, { once: true });
    if (request.signal?.aborted) abort();
    const response = await pendingResponse;
    response.on(
      "close",
      () => request.signal?.removeEventListener("abort", abort),
    );
    const problem = findHeadProblem(response);
    if (problem !== undefined) {
      response.destroy();
      throw new Error(problem);
    }
    return { response, limit };
  }

  /** Sends a request and reads the complete response. */
  async send(request: HttpRequest): Promise<HttpResponse> {
    const { response, limit } = await this.open(request);
    const { timeoutMilliseconds = MAX_TIMEOUT_MILLISECONDS } = request;
    const timer = setTimeout(
      () => response.destroy(new Error("Reading the response timed out")),
      timeoutMilliseconds,
    );
    const body = new ByteCollector();
    try {
      // Leaving the loop destroys the response.
      for await (const bytes of response as AsyncIterable<Buffer>) {
        body.push(bytes);
        limit.addBody(bytes);
        if (body.length <= (request.maxBytes ?? MAX_REPORT_BYTES)) continue;
        throw new Error("The response is too large");
      }
      const isFramed = response.headers["content-length"] !== undefined ||
        response.headers["transfer-encoding"] !== undefined;
      if (limit.isReset && !isFramed) throw new Error("The response was reset");
      if (limit.isTooLong) {
        throw new Error("The response is longer than its Content-Length");
      }
      return {
        status: response.statusCode ?? 0,
        body: body.bytes.toString(),
      };
    } finally {
      clearTimeout(timer);
    }
  }
}

/**
 * Returns why the head of a response is invalid; Node.js takes any status, and
 * reads a response with an unknown coding up to the end of its connection.
 */
function findHeadProblem(response: IncomingMessage): string | undefined {
  const { statusCode = 0, headers } = response;
  if (statusCode < FIRST_FINAL_STATUS || statusCode > LAST_STATUS) {
    return "The status is invalid";
  }
  const coding = headers["transfer-encoding"];
  if (coding === undefined || coding.toLowerCase() === "chunked") {
    return undefined;
  }
  return "The response has an unsupported Transfer-Encoding";
}

/** An error of the parser of Node.js, with what it has parsed. */
interface ParseError extends NodeJS.ErrnoException {
  readonly rawPacket?: Buffer;
  readonly bytesParsed?: number;
}

/** True if the parser failed on bytes that begin no response. */
function isFollowedByBody({ rawPacket, bytesParsed }: ParseError): boolean {
  if (rawPacket === undefined || bytesParsed === undefined) return false;
  const rest = rawPacket.toString("latin1", bytesParsed).trimStart();
  return !RESPONSE_START.startsWith(rest.slice(0, RESPONSE_START.length));
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

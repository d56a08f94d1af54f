/** An HTTP/1.1 connection to an upstream that carries one request at a time. */

import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import { parseAddress } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { AnswerHead } from "../dialect.ts";
import type { AnswerFraming } from "./answer_framing.ts";
import { AnswerParser } from "./answer_parser.ts";

/**
 * Largest number of answers to earlier requests that are skipped before the
 * connection is closed.
 */
const MAX_SKIPPED_ANSWERS = 4;
/** Largest bodies of such answers together, bytes. */
const MAX_SKIPPED_BYTES = 1_048_576;

/** Largest body that is copied behind its head, bytes; larger ones are not copied. */
const MAX_JOINED_BYTES = 16_384;

/**
 * Whether an answer belongs to the pending request, to another one, or cannot
 * be assigned.
 */
export type AnswerMatch = "own" | "other" | "spoiled";

/** How a request lost its answer. */
export const LOSS_CAUSES = {
  /** The upstream closed the connection. */
  CLOSED: "closed",
  /** The connection was reset. */
  RESET: "reset",
  /** The upstream sent bytes that are not a complete answer to the request. */
  MALFORMED: "malformed",
  /** Nothing arrived for too long, or the network reported a failure. */
  SILENT: "silent",
  /** The call timed out or its caller disconnected. */
  ABORTED: "aborted",
} as const;

/** One of {@linkcode LOSS_CAUSES}. */
export type LossCause = typeof LOSS_CAUSES[keyof typeof LOSS_CAUSES];

/** True if the connection itself was lost, as when its upstream has ended. */
export function isConnectionLoss(cause: LossCause): boolean {
  return cause === LOSS_CAUSES.CLOSED || cause === LOSS_CAUSES.RESET;
}

/** Error codes of a connection that its peer has reset. */
const RESET_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE"]);

/** Receives the answer to one request. */
export interface AnswerListener {
  /**
   * Called with the head of each answer and what will mark its end; returns
   * whose answer it is.
   */
  onHead(head: AnswerHead, framing: AnswerFraming): AnswerMatch;
  /** Called with each part of the body of the request's own answer. */
  onBody(bytes: Buffer): void;
  /**
   * Called once all bytes of the request are with the operating system, or the
   * connection has closed before.
   */
  onWritten(): void;
  /** Called when the request's own answer is complete. */
  onComplete(): void;
  /** Called when the request cannot get a complete answer any more. */
  onFailure(cause: LossCause, message: string): void;
}

/** A request as it is sent to the upstream. */
export interface OutgoingRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A connected socket with the parser of its answers. */
export class UpstreamConnection {
  readonly #socket: Socket;
  readonly #parser: AnswerParser;
  #listener: AnswerListener | undefined;
  #isOwnAnswer = false;
  #skippedAnswers = 0;
  #skippedBytes = 0;
  #isFlushed = true;
  #isUsable = true;
  /**
   * Called once, when the connection has closed and cannot be used any more.
   */
  onClosed: () => void = () => undefined;
  /** Called when the connection is idle after a complete answer. */
  onIdle: () => void = () => undefined;
  /** True if the connection has been idle in a pool. */
  isReused = false;
  /**
   * Idle timeout that the upstream announces, ms; undefined if it announces
   * none.
   */
  idleTimeoutMilliseconds: number | undefined;

  private constructor(socket: Socket) {
    this.#socket = socket;
    this.#parser = new AnswerParser({
      onHead: (head, framing) => this.#handleHead(head, framing),
      onBody: (bytes) => this.#handleBody(bytes),
      onComplete: (mayReuse) => this.#handleComplete(mayReuse),
    });
    socket.on("data", (bytes: Buffer) => this.#handleBytes(bytes));
    socket.on("end", () => this.#handleEnd());
    socket.on("error", (error: NodeJS.ErrnoException) =>
      this.#fail(
        error.message,
        RESET_CODES.has(error.code ?? "")
          ? LOSS_CAUSES.RESET
          : LOSS_CAUSES.SILENT,
      ));
    socket.on(
      "close",
      () => this.#fail("The connection closed", LOSS_CAUSES.CLOSED),
    );
  }

  /**
   * Connects to an upstream; fails with `NOT_CONNECTED` after the timeout, in
   * ms.
   */
  static open(
    address: string,
    timeoutMilliseconds: number,
  ): Promise<Outcome<UpstreamConnection>> {
    return new Promise((resolve) => {
      const socket = connect({ ...parseAddress(address), noDelay: true });
      const timer = setTimeout(
        () => refuse("Connecting to the upstream timed out"),
        timeoutMilliseconds,
      );
      const refuse = (message: string) => {
        clearTimeout(timer);
        socket.destroy();
        resolve(fail(RESULT_CODES.NOT_CONNECTED, message));
      };
      const onError = (error: Error) => refuse(error.message);
      socket.once("error", onError);
      socket.once("connect", () => {
        clearTimeout(timer);
        socket.off("error", onError);
        resolve(Ok(new UpstreamConnection(socket)));
      });
    });
  }

  /** Bytes that were received and not read because of {@linkcode pause}. */
  get pausedBytes(): number {
    return this.#socket.readableLength;
  }

  /** False once the connection has closed or failed. */
  get isUsable(): boolean {
    return this.#isUsable;
  }

  /** Sends a request; the listener receives its answer. */
  send(request: OutgoingRequest, listener: AnswerListener): void {
    this.#listener = listener;
    this.#isFlushed = false;
    this.#parser.requestMethod = request.method;
    const head = writeHead(request);
    const handleWritten = () => {
      this.#isFlushed = true;
      listener.onWritten();
    };
    // One write of small parts costs less than a write of two.
    if (request.body.length <= MAX_JOINED_BYTES) {
      const joined = Buffer.concat([head, request.body]);
      return void this.#socket.write(joined, handleWritten);
    }
    this.#socket.cork();
    this.#socket.write(head);
    this.#socket.write(request.body, handleWritten);
    this.#socket.uncork();
  }

  /**
   * Stops reading until {@linkcode resume}, as backpressure from a slow caller.
   */
  pause(): void {
    this.#socket.pause();
  }

  /** Resumes reading after {@linkcode pause}. */
  resume(): void {
    this.#socket.resume();
  }

  /** Closes the connection at once without calling the listener. */
  destroy(): void {
    this.#listener = undefined;
    this.#fail("The gateway closed the connection");
  }

  #handleHead(head: AnswerHead, framing: AnswerFraming): void {
    const listener = this.#listener;
    if (listener === undefined) {
      return this.#fail("The upstream sent bytes without a pending request");
    }
    const match = listener.onHead(head, framing);
    this.#isOwnAnswer = match === "own";
    if (match === "spoiled") this.#fail("The answer matches no request");
    if (match === "other" && ++this.#skippedAnswers > MAX_SKIPPED_ANSWERS) {
      this.#fail("Too many answers to earlier requests");
    }
  }

  #handleBody(bytes: Buffer): void {
    if (this.#isOwnAnswer) return this.#listener?.onBody(bytes);
    this.#skippedBytes += bytes.length;
    if (this.#skippedBytes <= MAX_SKIPPED_BYTES) return;
    this.#fail("The answers to earlier requests are too large");
  }

  #handleComplete(mayReuse: boolean): void {
    if (!this.#isOwnAnswer) return;
    this.#isOwnAnswer = false;
    const listener = this.#listener;
    this.#listener = undefined;
    // If the upstream answers before the whole body has been sent, it would
    // read the rest of the body as the next request.
    const isReusable = mayReuse && this.#isFlushed &&
      this.#skippedAnswers === 0 && this.#isUsable;
    if (!isReusable) this.#close();
    listener?.onComplete();
    if (!isReusable) return;
    // The last bytes of an answer may have paused the connection.
    this.#socket.resume();
    // An idle connection keeps nothing of its last request and answer.
    const { onIdle } = this;
    this.onIdle = () => undefined;
    onIdle();
  }

  #handleBytes(bytes: Buffer): void {
    if (this.#listener === undefined && !this.#parser.isInAnswer) {
      return this.#fail("The upstream sent bytes without a pending request");
    }
    const failure = this.#parser.push(bytes);
    if (failure !== undefined) return this.#fail(failure);
    // The rest of such an answer would be taken for the next one.
    if (this.#listener === undefined && this.#parser.isInHead) {
      this.#fail("The upstream sent bytes without a pending request");
    }
  }

  #handleEnd(): void {
    // Node.js may report a reset that comes with the last bytes as an end; only
    // the operating system knows then that the connection has no peer any more.
    const isReset = this.#socket.remoteAddress === undefined;
    if (isReset) {
      return this.#fail("The connection was reset", LOSS_CAUSES.RESET);
    }
    if (this.#parser.end()) return this.#close();
    this.#fail("The upstream closed the connection", LOSS_CAUSES.CLOSED);
  }

  #close(): void {
    if (!this.#isUsable) return;
    this.#isUsable = false;
    this.#socket.destroy();
    this.onClosed();
  }

  #fail(message: string, cause: LossCause = LOSS_CAUSES.MALFORMED): void {
    const listener = this.#listener;
    this.#listener = undefined;
    this.#isOwnAnswer = false;
    this.#close();
    listener?.onFailure(cause, message);
  }
}

function writeHead(request: OutgoingRequest): Buffer {
  const { method, target, headers, body } = request;
  const lines = [`${method} ${target} HTTP/1.1`];
  for (let index = 0; index < headers.length; index += 2) {
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  }
  const hasBody = body.length > 0 || (method !== "GET" && method !== "HEAD");
  if (hasBody) lines.push(`Content-Length: ${body.length}`);
  return Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1");
}

/** A caller's open request: its deadline, its permit and the answer sent to it. */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { CodedError, ResultCode } from "@mallowlift/core";
import type {
  CallFacts,
  CallHead,
  GatewayAnswer,
  RawHeaders,
} from "../dialect.ts";
import type { Admission } from "../workspaces/key_admission.ts";

/** Unread bytes of an event stream above which its connection is destroyed. */
const MAX_UNSENT_BYTES = 4_194_304;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Why a call was aborted before its answer was complete. */
export const ABORT_REASONS = {
  /** The timeout of the route or of the caller has expired. */
  TIMEOUT: "timeout",
  /** The caller closed its connection. */
  CALLER_LEFT: "left",
} as const;

/** The request of a call and what the gateway has determined about it. */
export interface OpenCallOptions extends Admission {
  readonly head: CallHead;
  readonly facts: CallFacts;
  readonly body: Buffer;
  readonly service: string;
  readonly response: ServerResponse;
  /** When the request arrived, by the local clock, ms. */
  readonly arrivedAt: number;
}

/** What is logged and counted when a call has ended. */
export interface CallSummary {
  status: number;
  code: string;
  upstream: string;
  sends: number;
  events: number;
}

/** An open call and the answer that is sent to its caller. */
export class OpenCall {
  readonly parts: OpenCallOptions;
  readonly deadlineAt: number;
  readonly summary: CallSummary = {
    status: 0,
    code: "OK",
    upstream: "",
    sends: 0,
    events: 0,
  };
  readonly #controller = new AbortController();
  /** Until when the permit for the next send is valid, by the local clock, ms. */
  #permitUntil = -Infinity;
  readonly #timer: NodeJS.Timeout;

  constructor(parts: OpenCallOptions, now: number) {
    this.parts = parts;
    const allowed = Math.min(
      parts.facts.callerTimeoutMilliseconds,
      parts.route.timeoutMilliseconds,
    );
    this.deadlineAt = parts.arrivedAt + allowed;
    this.#timer = setTimeout(
      () => this.#controller.abort(ABORT_REASONS.TIMEOUT),
      Math.max(0, this.deadlineAt - now),
    );
    const handleClose = () => {
      if (!parts.response.writableFinished) {
        this.#controller.abort(ABORT_REASONS.CALLER_LEFT);
      }
    };
    parts.response.on("close", handleClose);
    // The caller may have disconnected before this object was created.
    if (parts.response.destroyed) handleClose();
  }

  /** Aborts with one of {@linkcode ABORT_REASONS}. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** True if the call was aborted because its caller disconnected. */
  get hasCallerLeft(): boolean {
    return this.signal.aborted &&
      this.signal.reason === ABORT_REASONS.CALLER_LEFT;
  }

  /** True once the head of an answer was sent. */
  get hasStartedAnswer(): boolean {
    return this.parts.response.headersSent;
  }

  /** True if there is a valid permit for the next send. */
  hasPermit(now: number): boolean {
    return now < this.#permitUntil;
  }

  /** Stores a permit for one send, valid until a time of the local clock, ms. */
  grantPermit(validUntil: number): void {
    this.#permitUntil = validUntil;
  }

  /** Removes the permit, because a send that may have run has used it. */
  consumePermit(): void {
    this.#permitUntil = -Infinity;
  }

  /** Time left until the deadline, ms. */
  findRemainingMilliseconds(now: number): number {
    return this.deadlineAt - now;
  }

  /** Stops the deadline timer; called once, when the answer has ended. */
  close(): void {
    clearTimeout(this.#timer);
  }

  /** Sends a complete answer of an upstream. */
  answer(status: number, headers: RawHeaders, body: Buffer): void {
    this.summary.status = status;
    const { response } = this.parts;
    if (response.destroyed || response.headersSent) return;
    // Answers that never have a body must not get a Content-Length here.
    const hasNoBody = this.parts.head.method === "HEAD" ||
      status === NO_CONTENT || status === NOT_MODIFIED;
    const framed = hasNoBody
      ? headers
      : [...headers, "Content-Length", String(body.length)];
    response.writeHead(status, [...framed]);
    response.end(body);
  }

  /** Sends an answer that the gateway generated itself. */
  answerFromGateway(answer: GatewayAnswer): void {
    this.summary.status = answer.status;
    writeGatewayAnswer(this.parts.response, answer);
  }

  /** Records why the call got no answer from an upstream. */
  recordFailure(error: CodedError): void {
    this.summary.code = error.code.name;
  }

  /** Records the result code of the call. */
  recordCode(code: ResultCode): void {
    this.summary.code = code.name;
  }

  /** Sends a part of an answer; false if the caller's buffer is full. */
  sendPart(bytes: Buffer): boolean {
    const { response } = this.parts;
    return response.destroyed || response.write(bytes);
  }

  /** Calls back once the caller has read what was sent. */
  onDrain(callback: () => void): void {
    this.parts.response.once("drain", callback);
  }

  /** Sends the head of an answer whose body follows in parts. */
  startAnswer(status: number, headers: RawHeaders): void {
    this.summary.status = status;
    const { response } = this.parts;
    if (response.destroyed) return;
    response.writeHead(status, [...headers]);
    response.flushHeaders();
  }

  /** Sends one event; destroys the connection if too much is unread. */
  sendEvent(event: Buffer): void {
    this.summary.events++;
    const { response } = this.parts;
    if (response.destroyed) return;
    if (response.writableLength > MAX_UNSENT_BYTES) return this.disconnect();
    response.write(event);
  }

  /** Completes an answer that was sent in parts. */
  endAnswer(): void {
    this.parts.response.end();
  }

  /** Destroys the connection, so that a partial answer does not look complete. */
  disconnect(): void {
    this.parts.response.destroy();
  }
}

/** Writes an answer that the gateway generated itself. */
export function writeGatewayAnswer(
  response: ServerResponse,
  answer: GatewayAnswer,
): void {
  if (response.destroyed || response.headersSent) return;
  const length = String(Buffer.byteLength(answer.body));
  response.writeHead(answer.status, [
    ...answer.headers,
    "Content-Length",
    length,
  ]);
  response.end(answer.body);
}

/** A caller's open request: its deadline, its permit and the answer sent to it. */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import type { CodedError, ResultCode } from "@mallowlift/core";
import type {
  CallFacts,
  CallHead,
  GatewayAnswer,
  RawHeaders,
} from "../dialect.ts";
import type { ReceivedAnswer } from "../upstreams/answer_framing.ts";
import type { ByteReservation } from "../memory/byte_account.ts";
import type { RequestBody } from "../memory/request_body.ts";
import { RequestFingerprint } from "../quarantine/request_fingerprint.ts";
import type { Admission } from "../workspaces/key_admission.ts";
import { findScope } from "../workspaces/scoped_id.ts";
import { findHeader } from "../http/headers.ts";
import { writeGatewayAnswer } from "../http/write_gateway_answer.ts";
import type { UnreadAnswer, UnreadAnswers } from "./unread_answers.ts";

/**
 * Part of a complete answer that is written at once, bytes. Node reports only
 * whole writes as sent, so it is also the least that a slow caller must read to
 * count as making progress.
 */
const PART_BYTES = 65_536;
/** Memory that a write takes until it is sent, in addition to its bytes. */
const WRITE_OVERHEAD_BYTES = 1_024;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Why a call was aborted before its answer was complete. */
export const ABORT_REASONS = {
  /** The timeout of the route or of the caller has expired. */
  TIMEOUT: "timeout",
  /** The caller closed its connection. */
  CALLER_LEFT: "left",
  /** The gateway stops before the call has ended. */
  STOPPING: "stopping",
} as const;

/** The request of a call and what the gateway has determined about it. */
export interface OpenCallOptions extends Admission {
  readonly head: CallHead;
  readonly facts: CallFacts;
  readonly body: RequestBody;
  readonly service: string;
  readonly response: ServerResponse;
  /** Unread bytes of all calls. */
  readonly unread: UnreadAnswers<OpenCall>;
  /** When the request arrived, by the local clock, ms. */
  readonly arrivedAt: number;
}

/** The upstream's connection that the answer of a call is read from. */
export interface AnswerSource {
  /** Bytes that were received and not read because of {@linkcode hold}. */
  readonly pausedBytes: number;
  /** Stops reading. */
  hold(): void;
  /** Reads again after {@linkcode hold}. */
  resume(): void;
}

/** What is logged and counted when a call has ended. */
export interface CallSummary {
  status: number;
  code: string;
  upstream: string;
  sends: number;
  /** Sends after which an upstream may have run the call. */
  possibleRuns: number;
  events: number;
  /** What arrived from the upstream of the last attempt. */
  received: ReceivedAnswer | undefined;
}

/** An open call and the answer that is sent to its caller. */
export class OpenCall implements UnreadAnswer {
  readonly parts: OpenCallOptions;
  readonly deadlineAt: number;
  readonly summary: CallSummary = {
    status: 0,
    code: "OK",
    upstream: "",
    sends: 0,
    possibleRuns: 0,
    events: 0,
    received: undefined,
  };
  readonly #controller = new AbortController();
  /** Until when the permit for the next send is valid, by the local clock, ms. */
  #permitUntil = -Infinity;
  readonly #timer: NodeJS.Timeout;
  #source: AnswerSource | undefined;
  readonly #reservations: ByteReservation[] = [];
  #fingerprint: RequestFingerprint | undefined;
  #isHeld = false;
  /** Bytes of a complete answer that are not written to the response yet. */
  #unwrittenBytes = 0;
  /** False if the end of the connection marks the end of the caller's answer. */
  #hasFramedAnswer = true;
  /** Writes since the response had nothing unsent; some may be sent already. */
  #waitingWrites = 0;
  readonly #handleWritten = () => this.#updateUnread();

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
    // A request may have waited behind others of its connection for too long.
    if (now >= this.deadlineAt) this.#controller.abort(ABORT_REASONS.TIMEOUT);
    const handleClose = () => {
      parts.unread.remove(this);
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

  /** What the call has in common with the other tries of its request. */
  get fingerprint(): RequestFingerprint {
    const { head, facts, body, route, table, workspace } = this.parts;
    this.#fingerprint ??= new RequestFingerprint({
      scope: findScope(table.document, workspace),
      host: route.host,
      head,
      facts,
      body: body.bytes,
    });
    return this.#fingerprint;
  }

  /** Memory of the answer that the caller's connection has not taken yet. */
  get unreadBytes(): number {
    const { writableLength } = this.parts.response;
    if (writableLength === 0) return this.#unwrittenBytes;
    return writableLength + this.#unwrittenBytes +
      WRITE_OVERHEAD_BYTES * this.#waitingWrites;
  }

  /** Bytes that the paused connection of the upstream holds. */
  get pausedBytes(): number {
    return this.#source?.pausedBytes ?? 0;
  }

  /** Bytes that the caller's connection has taken. */
  get readBytes(): number {
    const { socket } = this.parts.response;
    return socket === null ? 0 : socket.bytesWritten - socket.writableLength;
  }

  /** True once the head of an answer was sent. */
  get hasStartedAnswer(): boolean {
    return this.parts.response.headersSent;
  }

  /** True once the whole answer was handed to the connection. */
  get hasEndedAnswer(): boolean {
    return this.parts.response.writableEnded;
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

  /** Frees memory that was reserved for the call when the call is closed. */
  addReservation(reservation: ByteReservation): void {
    this.#reservations.push(reservation);
  }

  /**
   * Stops the deadline timer and frees the body; called once, when the answer
   * has ended.
   */
  close(): void {
    clearTimeout(this.#timer);
    this.#fingerprint?.complete();
    const now = performance.now();
    this.parts.body.release(now);
    for (const reservation of this.#reservations) reservation.release(now);
  }

  /** Aborts the call because the gateway stops. */
  endForStop(): void {
    this.#controller.abort(ABORT_REASONS.STOPPING);
  }

  /**
   * Lets the end of the connection mark the end of the answer. If that is what
   * marked it for the gateway, the answer may be truncated, and framing would
   * present it as complete.
   */
  omitFraming(): void {
    const { response } = this.parts;
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    this.#hasFramedAnswer = false;
  }

  /** Sends a complete answer of an upstream. */
  answer(status: number, headers: RawHeaders, body: Buffer): void {
    this.summary.status = status;
    const { response } = this.parts;
    if (response.destroyed || response.headersSent) return;
    // Answers that never have a body must not get a Content-Length here.
    const hasNoBody = this.parts.head.method === "HEAD" ||
      status === NO_CONTENT || status === NOT_MODIFIED;
    const hasLength = !hasNoBody && this.#hasFramedAnswer;
    response.writeHead(status, [
      ...headers,
      ...(hasLength ? ["Content-Length", String(body.length)] : []),
    ]);
    if (hasNoBody || body.length <= PART_BYTES) response.end(body);
    else this.#writeParts(body);
    this.#updateUnread();
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

  /** Sends a part of an answer. */
  sendPart(bytes: Buffer): void {
    const { response } = this.parts;
    if (response.destroyed) return;
    if (response.writableLength === 0) this.#waitingWrites = 0;
    this.#waitingWrites++;
    response.write(bytes, this.#handleWritten);
    this.#updateUnread();
  }

  /** Sets where the answer is read from; undefined if it is not read now. */
  setSource(source: AnswerSource | undefined): void {
    this.#source = source;
    if (this.#isHeld) source?.hold();
  }

  /** Stops reading the answer, because its caller reads more slowly. */
  hold(): void {
    this.#isHeld = true;
    this.#source?.hold();
  }

  /** Reads the answer again after {@linkcode hold}. */
  resume(): void {
    this.#isHeld = false;
    this.#source?.resume();
  }

  /** Sends the head of an answer whose body follows in parts. */
  startAnswer(status: number, headers: RawHeaders): void {
    this.summary.status = status;
    const { response } = this.parts;
    if (response.destroyed || response.headersSent) return;
    response.writeHead(status, [...headers]);
    response.flushHeaders();
    this.#hasFramedAnswer = response.chunkedEncoding ||
      findHeader(headers, "content-length") !== undefined;
  }

  /** Sends events in one write. */
  sendEvents(events: readonly Buffer[]): void {
    const [first] = events;
    if (first === undefined) return;
    this.summary.events += events.length;
    this.sendPart(events.length === 1 ? first : Buffer.concat(events));
  }

  /** Completes an answer that was sent in parts. */
  endAnswer(): void {
    this.parts.response.end();
  }

  /**
   * Closes the connection before the answer is complete. Without a length or
   * chunks, only a reset tells the caller that the answer is partial.
   */
  disconnect(): void {
    if (!this.#hasFramedAnswer) return this.#reset();
    this.parts.response.destroy();
  }

  /**
   * Resets the connection of a slow caller, which also frees the bytes that the
   * operating system keeps for it.
   */
  endSlow(): void {
    this.#reset();
  }

  #reset(): void {
    const { response } = this.parts;
    response.socket?.resetAndDestroy();
    response.destroy();
  }

  #updateUnread(): void {
    // An answer whose connection has closed is not counted again.
    if (this.parts.response.destroyed) return;
    this.parts.unread.update(this, performance.now());
  }

  #writeParts(body: Buffer): void {
    const { response } = this.parts;
    const part = body.subarray(0, PART_BYTES);
    const rest = body.subarray(part.length);
    this.#unwrittenBytes = rest.length;
    if (rest.length === 0) return void response.end(part);
    response.write(part, () => {
      if (!response.destroyed) this.#writeParts(rest);
    });
  }
}

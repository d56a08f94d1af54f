/** Runs one attempt of a call at one upstream. */

import type { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import {
  ByteCollector,
  type CodedError,
  createDeferred,
  type Deferred,
  RESULT_CODES,
  type ResultCode,
  sleep,
} from "@mallowlift/core";
import type { AnswerHead } from "../dialect.ts";
import { findHeader } from "../http/headers.ts";
import {
  ANSWER_FRAMINGS,
  type AnswerFraming,
  findTruncation,
} from "../upstreams/answer_framing.ts";
import type { ByteReservation } from "../memory/byte_account.ts";
import { checkAddress, UPSTREAM_STATES } from "../upstreams/check_address.ts";
import type { UnsentRequest } from "../upstreams/unsent_requests.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type {
  AttemptEnd,
  AttemptOptions,
  AttemptResult,
  EventSink,
} from "./attempt.ts";
import {
  type AnswerClassification,
  classifyAnswer,
  isServerError,
} from "./classify_answer.ts";
import type { AnswerSource } from "./open_call.ts";
import {
  type AnswerListener,
  type AnswerMatch,
  LOSS_CAUSES,
  type LossCause,
  type UpstreamConnection,
} from "../upstreams/upstream_connection.ts";

/**
 * Answers up to this size, bytes, are buffered, so that the call can still be
 * retried at another upstream; larger answers are streamed to the caller.
 */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Backoff after an upstream reports that it is full, ms: about as long as one short request takes. */
const FULL_BACKOFF_MILLISECONDS = 60;

/**
 * Wait for the head of an answer, ms, from which an aborted call counts as a
 * failure of the upstream: longer than it takes to serve a queue of short
 * requests.
 */
const UNRESPONSIVE_MILLISECONDS = 500;
/** Largest body of a refusal that is read so that its connection can be reused, bytes. */
const MAX_REFUSAL_BYTES = 65_536;
/** Wait for the rest of a refusal after its head, ms; then its connection is closed. */
const REFUSAL_WAIT_MILLISECONDS = 250;
const EVENT_STREAM_TYPE = "text/event-stream";
const ANSWER_TOO_LONG_MESSAGE = "The answer is larger than the limit";
const UNREAD_REQUESTS_MESSAGE =
  "Too many bytes wait until the upstream reads them";
/**
 * Time after the end of a connection after which its upstream is looked for, ms: the
 * operating system closes the sockets of a crashed process one after the other.
 */
const END_CHECK_DELAY_MILLISECONDS = 20;
/** Status for a request whose remaining time was too short for the upstream. */
const GATEWAY_TIMEOUT_STATUS = 504;

/** Runs one attempt until it has a result. */
export async function runAttempt(
  options: AttemptOptions,
): Promise<AttemptResult> {
  const { upstream, limits } = options;
  upstream.running++;
  try {
    const opened = await upstream.acquire(
      limits,
      performance.now(),
      options.earlier.connectionChoice,
    );
    if (opened.err) return handleAcquireFailure(upstream, opened.val);
    const connection = opened.val;
    if (options.signal.aborted) {
      upstream.release(connection, limits, performance.now());
      return { kind: "not_run", error: createError(RESULT_CODES.CALL_TIMEOUT) };
    }
    // The process may have been suspended since the call was admitted.
    const refusal = options.findRefusal(performance.now());
    if (refusal !== undefined) {
      upstream.release(connection, limits, performance.now());
      return { kind: "not_run", error: refusal };
    }
    const bytes = options.request.body.length;
    const unsent = options.unsent.tryAdd(upstream, bytes);
    if (unsent === undefined) {
      upstream.release(connection, limits, performance.now());
      return handleAcquireFailure(
        upstream,
        createError(RESULT_CODES.QUEUE_FULL, UNREAD_REQUESTS_MESSAGE),
      );
    }
    const attempt = new Attempt(options, { connection, unsent });
    return await attempt.run();
  } finally {
    upstream.running--;
  }
}

function handleAcquireFailure(
  upstream: Upstream,
  error: CodedError,
): AttemptResult {
  const now = performance.now();
  if (error.code === RESULT_CODES.QUEUE_FULL) {
    upstream.health.markFull(now, FULL_BACKOFF_MILLISECONDS);
  } else upstream.health.recordFailure(now);
  return { kind: "not_run", error };
}

function createError(code: ResultCode, message = code.meaning): CodedError {
  return { code, message };
}

class Attempt implements AnswerListener, AnswerSource {
  readonly #options: AttemptOptions;
  readonly #connection: UpstreamConnection;
  readonly #unsent: UnsentRequest;
  readonly #done: Deferred<AttemptResult> = createDeferred<AttemptResult>();
  readonly #sentAt = performance.now();
  #head: AnswerHead | undefined;
  #framing: AnswerFraming | undefined;
  #receivedBytes = 0;
  readonly #buffered = new ByteCollector();
  readonly #room: ByteReservation;
  #isStream = false;
  #isForwarding = false;
  #notRun: CodedError | undefined;
  #silenceTimer: NodeJS.Timeout | undefined;
  #isSettled = false;

  constructor(
    options: AttemptOptions,
    parts: {
      readonly connection: UpstreamConnection;
      readonly unsent: UnsentRequest;
    },
  ) {
    this.#options = options;
    this.#connection = parts.connection;
    this.#unsent = parts.unsent;
    this.#room = options.openAnswer();
  }

  get pausedBytes(): number {
    return this.#connection.pausedBytes;
  }

  /** While its answer is not read, an upstream cannot be silent. */
  hold(): void {
    this.#stopSilenceTimer();
    this.#connection.pause();
  }

  resume(): void {
    this.#connection.resume();
    if (!this.#isStream) return;
    this.#startSilenceTimer(this.#options.streamSilentMilliseconds);
  }

  async run(): Promise<AttemptResult> {
    const { upstream, limits, signal, request } = this.#options;
    const connection = this.#connection;
    const abort = () => this.#handleAbort();
    this.#startSilenceTimer(this.#options.silentMilliseconds);
    signal.addEventListener("abort", abort, { once: true });
    connection.onIdle = () =>
      upstream.release(connection, limits, performance.now());
    upstream.health.recordSent(this, this.#sentAt);
    this.#options.earlier.recordSend(connection);
    connection.send(request, this);
    const result = await this.#done.promise;
    upstream.health.recordSettled(this);
    signal.removeEventListener("abort", abort);
    return result;
  }

  onHead(head: AnswerHead, framing: AnswerFraming): AnswerMatch {
    const { match, notRun } = this.#matchHead(head);
    if (match !== "own") return match;
    this.#options.upstream.health.recordSettled(this);
    this.#recordKeepAlive(head);
    this.#head = head;
    this.#framing = framing;
    this.#stopSilenceTimer();
    if (notRun !== undefined) {
      this.#recordNotRun(notRun);
      this.#startSilenceTimer(REFUSAL_WAIT_MILLISECONDS);
    } else if (this.#isTooLong(head, framing)) {
      this.#spoil(ANSWER_TOO_LONG_MESSAGE);
    } else this.#startAnswer(head, framing);
    return "own";
  }

  /** Finds whose answer a head belongs to; a copy of an earlier one counts as another's. */
  #matchHead(head: AnswerHead): AnswerClassification {
    const { dialect, callId, earlier } = this.#options;
    const facts = dialect.readAnswer(head);
    const classified = classifyAnswer(facts, callId);
    if (classified.match !== "own") return classified;
    // It may be left over from any earlier request of the connection.
    const isUnnamed = facts.callId === undefined;
    if (isUnnamed && this.#connection.isReused) return { match: "spoiled" };
    const isNew = earlier.recordAnswer(facts.answerId);
    return isNew ? classified : { match: "other" };
  }

  /** True if the length of an answer is known to exceed the limit. */
  #isTooLong(head: AnswerHead, framing: AnswerFraming): boolean {
    if (framing !== ANSWER_FRAMINGS.LENGTH) return false;
    const length = findHeader(head.headers, "content-length");
    return Number(length) > this.#options.maxAnswerBytes;
  }

  #startAnswer(head: AnswerHead, framing: AnswerFraming): void {
    const { events, flow, streamSilentMilliseconds } = this.#options;
    // On a route that streams, an answer that names no type is a stream.
    const type = findHeader(head.headers, "content-type") ?? EVENT_STREAM_TYPE;
    this.#isStream = events !== undefined && head.status === 200 &&
      type.startsWith(EVENT_STREAM_TYPE);
    if (!this.#isStream) return this.#reserveAnswer(head, framing);
    this.#recordLatency();
    this.#startSilenceTimer(streamSilentMilliseconds);
    events?.start(head);
    flow.setSource(this);
  }

  /** An answer of a known length is read into one buffer. */
  #reserveAnswer(head: AnswerHead, framing: AnswerFraming): void {
    if (framing !== ANSWER_FRAMINGS.LENGTH) return;
    const length = Number(findHeader(head.headers, "content-length"));
    if (length > MAX_BUFFERED_BYTES || !this.#room.tryResize(length)) return;
    this.#buffered.reserve(length);
  }

  onBody(bytes: Buffer): void {
    this.#receivedBytes += bytes.length;
    if (this.#notRun !== undefined) {
      if (this.#receivedBytes > MAX_REFUSAL_BYTES) this.#endRefusal();
      return;
    }
    if (this.#receivedBytes > this.#options.maxAnswerBytes) {
      return this.#spoil(ANSWER_TOO_LONG_MESSAGE);
    }
    if (this.#isStream) {
      this.#silenceTimer?.refresh();
      const isValid = this.#options.events?.push(bytes) ?? true;
      if (isValid) return;
      if (this.#options.events?.lacksRoom === true) return this.#endForRoom();
      return this.#spoil("The stream is longer than the call allows");
    }
    if (this.#isForwarding) return this.#options.body.push(bytes);
    this.#bufferOrForward(bytes);
  }

  /** Buffers an answer while it is small and there is room for it. */
  #bufferOrForward(bytes: Buffer): void {
    const length = this.#buffered.length + bytes.length;
    const capacity = this.#buffered.findCapacity(bytes.length);
    if (length <= MAX_BUFFERED_BYTES && this.#room.tryResize(capacity)) {
      return this.#buffered.push(bytes);
    }
    this.#startForwarding();
    if (this.#isForwarding) this.#options.body.push(bytes);
  }

  onWritten(): void {
    this.#unsent.release();
  }

  onComplete(): void {
    const head = this.#head;
    if (head === undefined) return this.#abandonUnexpected();
    if (this.#notRun !== undefined) {
      return this.#settle({ kind: "not_run", error: this.#notRun });
    }
    const { events } = this.#options;
    if (this.#isStream && this.#framing !== undefined && events !== undefined) {
      const isUnframed = this.#framing === ANSWER_FRAMINGS.CONNECTION_END;
      const truncation = findTruncation(this.#framing, events.progress);
      if (truncation !== undefined) {
        const cause = isUnframed ? LOSS_CAUSES.CLOSED : LOSS_CAUSES.MALFORMED;
        return this.onFailure(cause, truncation);
      }
      if (isUnframed) return void this.#confirmEnd(head, events);
      events.complete();
    }
    this.#completeAnswer(head);
  }

  /**
   * Completes a stream that the end of its connection ends, if its upstream is still
   * there: a crash ends a connection in the same way.
   */
  async #confirmEnd(head: AnswerHead, events: EventSink): Promise<void> {
    const { upstream, limits, signal } = this.#options;
    this.#stopSilenceTimer();
    await sleep(END_CHECK_DELAY_MILLISECONDS, signal);
    const state = await checkAddress(
      upstream.instance.address,
      limits.connectMilliseconds,
    );
    if (this.#isSettled) return;
    if (state !== UPSTREAM_STATES.LIVE) {
      const message = `The upstream is ${state} at the end of the connection`;
      return this.onFailure(LOSS_CAUSES.CLOSED, message);
    }
    events.complete();
    this.#completeAnswer(head);
  }

  #completeAnswer(head: AnswerHead): void {
    if (!this.#isStream && !this.#isForwarding) this.#recordResult(head);
    this.#settle({
      kind: "whole",
      head,
      body: this.#buffered.bytes,
      streamed: this.#isStream || this.#isForwarding,
    });
  }

  onFailure(cause: LossCause, message: string): void {
    if (this.#notRun !== undefined) {
      return this.#settle({ kind: "not_run", error: this.#notRun });
    }
    const { upstream, earlier } = this.#options;
    upstream.health.recordFailure(performance.now());
    if (cause === LOSS_CAUSES.MALFORMED) {
      earlier.recordSpoiled(this.#connection);
    }
    const error = createError(RESULT_CODES.ANSWER_SPOILED, message);
    this.#settle({ kind: "lost", error, cause });
  }

  #settle(end: AttemptEnd): void {
    this.#isSettled = true;
    this.#stopSilenceTimer();
    this.#options.flow.setSource(undefined);
    // The connection has written the request, or it is closed by now.
    this.#unsent.release();
    // A whole answer is kept until its call is closed.
    if (end.kind !== "whole") this.#room.release(performance.now());
    const received = this.#framing === undefined
      ? undefined
      : { framing: this.#framing, bytes: this.#receivedBytes };
    this.#done.resolve({ ...end, received });
  }

  #startForwarding(): void {
    const head = this.#head;
    const framing = this.#framing;
    if (head === undefined || framing === undefined) {
      return this.#abandonUnexpected();
    }
    if (!this.#options.body.start(head, framing)) {
      return this.#spoil("The answer does not continue the one that has begun");
    }
    this.#isForwarding = true;
    this.#recordResult(head);
    this.#options.flow.setSource(this);
    if (this.#buffered.length > 0) {
      this.#options.body.push(this.#buffered.bytes);
    }
    this.#buffered.clear();
    this.#room.release(performance.now());
  }

  #startSilenceTimer(milliseconds: number): void {
    if (!Number.isFinite(milliseconds)) return;
    this.#silenceTimer = setTimeout(() => this.#handleSilence(), milliseconds);
  }

  #stopSilenceTimer(): void {
    clearTimeout(this.#silenceTimer);
    this.#silenceTimer = undefined;
  }

  #handleSilence(): void {
    if (this.#notRun !== undefined) return this.#endRefusal();
    this.#recordSilence(performance.now());
    this.#abandon(RESULT_CODES.TIMEOUT, LOSS_CAUSES.SILENT);
  }

  /** Handles the call's timeout or its caller's disconnect. */
  #handleAbort(): void {
    if (this.#notRun !== undefined) return this.#endRefusal();
    const now = performance.now();
    const isUnresponsive = this.#head === undefined &&
      now - this.#sentAt >= UNRESPONSIVE_MILLISECONDS;
    if (isUnresponsive) this.#recordSilence(now);
    this.#abandon(RESULT_CODES.CALL_TIMEOUT, LOSS_CAUSES.ABORTED);
  }

  /**
   * Records an upstream that has not answered. Connections may go silent without
   * a reset; the idle ones of the upstream are then likely to be silent too.
   */
  #recordSilence(now: number): void {
    const { upstream } = this.#options;
    upstream.health.recordFailure(now);
    if (this.#connection.isReused) upstream.closeIdle();
  }

  #abandon(code: ResultCode, cause: LossCause): void {
    this.#connection.destroy();
    this.#settle({ kind: "lost", error: createError(code), cause });
  }

  /** Ends an attempt whose answer cannot be a valid one. */
  #spoil(message: string): void {
    this.#connection.destroy();
    this.onFailure(LOSS_CAUSES.MALFORMED, message);
  }

  /** Ends an attempt for whose answer this gateway has no room. */
  #endForRoom(): void {
    this.#connection.destroy();
    const message = "The gateway has no room for the output of the turn";
    const error = createError(RESULT_CODES.ANSWER_SPOILED, message);
    this.#settle({ kind: "lost", error, cause: LOSS_CAUSES.MALFORMED });
  }

  /** Ends a refused attempt without reading the rest of the refusal. */
  #endRefusal(): void {
    this.#connection.destroy();
    this.onFailure(LOSS_CAUSES.CLOSED, "The refusal was not read to its end");
  }

  /** The connection reports the parts of an answer after its head only. */
  #abandonUnexpected(): void {
    this.#abandon(RESULT_CODES.INTERNAL, LOSS_CAUSES.MALFORMED);
  }

  /** Records a latency or a failure; a failure says nothing about latency. */
  #recordResult(head: AnswerHead): void {
    if (head.status === GATEWAY_TIMEOUT_STATUS) return;
    if (!isServerError(head.status)) return this.#recordLatency();
    this.#options.upstream.health.recordFailure(performance.now());
  }

  #recordLatency(): void {
    const now = performance.now();
    this.#options.upstream.health.recordTime(now - this.#sentAt, now);
  }

  #recordNotRun(error: CodedError): void {
    const { upstream } = this.#options;
    this.#notRun = error;
    if (error.code === RESULT_CODES.NO_UPSTREAM) upstream.retire();
    else upstream.health.markFull(performance.now(), FULL_BACKOFF_MILLISECONDS);
  }

  #recordKeepAlive(head: AnswerHead): void {
    const keepAlive = findHeader(head.headers, "keep-alive") ?? "";
    const seconds = /timeout=(\d+)/.exec(keepAlive)?.[1];
    if (seconds !== undefined) {
      this.#connection.idleTimeoutMilliseconds = Number(seconds) * 1_000;
    }
  }
}

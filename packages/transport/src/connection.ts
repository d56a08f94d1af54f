/** One open connection, on which both calls and answers travel. */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import {
  ABORTED,
  createDeferred,
  decodeError,
  type Deferred,
  describeThrown,
  encodeError,
  fail,
  type HandlerName,
  type InternalHandlers,
  type Metrics,
  type Outcome,
  RESULT_CODES,
  type ResultCode,
  type WireError,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import {
  checkFrame,
  encodeFrame,
  type Frame,
  type FrameReader,
} from "./frame.ts";
import type {
  CallContext,
  Caller,
  CallOptions,
  HandlerTable,
} from "./handlers.ts";

/** Time between two looks at connections that wait for a word, ms. */
const LOOK_MILLISECONDS = 1_000;
/** Silence after a call at which a connection is given up, ms: a few looks. */
const SILENCE_MILLISECONDS = 4_000;
/** Id of a ping that asks for one in return. */
const PING_ASKS = 1;
/** Id of a ping in return. */
const PING_ANSWERS = 0;
const MAX_UNSENT_BYTES = 256 * 1_024 * 1_024;

/** Connections that have sent a call and heard nothing since. */
const WATCHED = new Set<Connection>();
let looker: NodeJS.Timeout | undefined;

/** One timer serves all connections, and stands while none is watched. */
function startLooking(): void {
  if (looker !== undefined) return;
  looker = setTimeout(() => {
    looker = undefined;
    const now = performance.now();
    for (const connection of [...WATCHED]) connection.lookAtSilence(now);
    if (WATCHED.size > 0) startLooking();
  }, LOOK_MILLISECONDS);
  looker.unref();
}

/** Every streamed call ends with one, so it is made once. */
const CANCELLED_CALL = fail(
  RESULT_CODES.CANCELLED,
  "The call was cancelled",
);

interface PendingCall {
  readonly done: Deferred<Outcome<unknown>>;
  readonly onChunk: ((chunk: never) => void) | undefined;
}

type AnyHandler = (
  request: unknown,
  context: CallContext<unknown>,
) => Promise<Outcome<unknown>>;

/** What a connection is made from once the handshake is over. */
export interface ConnectionParts {
  readonly socket: Socket;
  readonly reader: FrameReader;
  readonly peer: string;
  readonly handlers: HandlerTable;
  /** Counts a connection closed for what was sent on it. */
  readonly onMalformed: (code: ResultCode) => void;
  readonly metrics?: Metrics;
}

/** A connection whose peer has proved the shared key. */
export class Connection implements Caller {
  readonly peer: string;
  readonly closed: Promise<void>;
  readonly #parts: ConnectionParts;
  readonly #closed: Deferred<void> = createDeferred<void>();
  readonly #pending = new Map<number, PendingCall>();
  readonly #served = new Map<number, AbortController>();
  #nextId = 1;
  #open = true;
  #corked = false;
  /** Since when a call has been sent and nothing was heard; Infinity if not. */
  #waitingSince = Infinity;

  constructor(parts: ConnectionParts) {
    this.#parts = parts;
    this.peer = parts.peer;
    this.closed = this.#closed.promise;
    parts.socket.setNoDelay(true);
    parts.socket.on("data", (bytes: Buffer) => this.#read(bytes));
    parts.socket.on("error", () => this.close());
    parts.socket.on("close", () => this.close());
  }

  /** True until the connection closes. */
  get isOpen(): boolean {
    return this.#open;
  }

  /** Bytes that wait for the peer or the link to take them. */
  get unsentBytes(): number {
    return this.#parts.socket.writableLength;
  }

  /** Handles bytes that came together with the end of the handshake. */
  readAhead(messages: readonly unknown[]): void {
    for (const message of messages) this.#handleMessage(message);
  }

  /** Calls a method of the peer; see {@linkcode Caller}. */
  async call<N extends HandlerName>(
    name: N,
    request: InternalHandlers[N]["request"],
    options: CallOptions<N>,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    if (!this.#open) {
      return fail(RESULT_CODES.NOT_CONNECTED, "The connection is closed");
    }
    const id = this.#nextId++;
    const done = createDeferred<Outcome<unknown>>();
    this.#pending.set(id, {
      done,
      onChunk: options.onChunk as PendingCall["onChunk"],
    });
    this.#send({ type: "call", id, name, body: request });
    this.#watchSilence(performance.now());
    const giveUp = (outcome: Outcome<never>) => {
      if (!this.#pending.delete(id)) return;
      this.#send({ type: "cancel", id });
      done.resolve(outcome);
    };
    const abort = () => giveUp(CANCELLED_CALL);
    const timer = setTimeout(
      () => giveUp(fail(RESULT_CODES.TIMEOUT, `No answer to ${name} in time`)),
      options.timeoutMilliseconds,
    );
    options.signal?.addEventListener("abort", abort, { once: true });
    if (options.signal?.aborted) abort();
    const outcome = await done.promise;
    clearTimeout(timer);
    options.signal?.removeEventListener("abort", abort);
    return outcome as Outcome<InternalHandlers[N]["reply"]>;
  }

  /** Closes the connection; calls under way end with CONNECTION_LOST. */
  close(): void {
    if (!this.#open) return;
    this.#open = false;
    WATCHED.delete(this);
    this.#parts.socket.destroy();
    for (const pending of this.#pending.values()) {
      pending.done.resolve(
        fail(RESULT_CODES.CONNECTION_LOST, "The connection broke"),
      );
    }
    this.#pending.clear();
    for (const controller of this.#served.values()) controller.abort(ABORTED);
    this.#served.clear();
    this.#closed.resolve(undefined);
  }

  /** Asks for a word, or gives the connection up; called while it waits for one. */
  lookAtSilence(now: number): void {
    if (now - this.#waitingSince > SILENCE_MILLISECONDS) return this.close();
    this.#send({ type: "ping", id: PING_ASKS });
  }

  /** An idle connection costs nothing; one that waits for a word is watched. */
  #watchSilence(now: number): void {
    if (!this.#open || this.#waitingSince !== Infinity) return;
    this.#waitingSince = now;
    WATCHED.add(this);
    startLooking();
  }

  #send(frame: Frame): void {
    if (!this.#open) return;
    const socket = this.#parts.socket;
    if (socket.writableLength > MAX_UNSENT_BYTES) return this.close();
    if (!this.#corked) {
      // Frames of one turn of the event loop share one packet.
      this.#corked = true;
      socket.cork();
      setImmediate(() => {
        this.#corked = false;
        socket.uncork();
      });
    }
    const bytes = encodeFrame(frame);
    this.#parts.metrics?.peerBytes.inc({ direction: "sent" }, bytes.length);
    socket.write(bytes);
  }

  #read(bytes: Buffer): void {
    if (this.#waitingSince !== Infinity) {
      this.#waitingSince = Infinity;
      WATCHED.delete(this);
    }
    const received = { direction: "received" };
    this.#parts.metrics?.peerBytes.inc(received, bytes.length);
    const messages = this.#parts.reader.push(bytes);
    if (messages.err) return this.#reject(messages.val.code);
    for (const message of messages.val) this.#handleMessage(message);
  }

  #handleMessage(message: unknown): void {
    const frame = checkFrame(message);
    if (frame.err) return this.#reject(frame.val.code);
    this.#handleFrame(frame.val);
  }

  #reject(code: ResultCode): void {
    this.#parts.onMalformed(code);
    this.close();
  }

  #handleFrame(frame: Frame): void {
    if (frame.type === "call") return void this.#serve(frame);
    if (frame.type === "ping") {
      if (frame.id !== PING_ASKS) return;
      return this.#send({ type: "ping", id: PING_ANSWERS });
    }
    if (frame.type === "cancel") {
      return this.#served.get(frame.id)?.abort(ABORTED);
    }
    const pending = this.#pending.get(frame.id);
    if (pending === undefined) return;
    if (frame.type === "chunk") return pending.onChunk?.(frame.body as never);
    if (frame.type === "reply") return this.#finish(frame.id, Ok(frame.body));
    if (frame.type !== "error") return;
    const error = decodeError(frame.body as WireError);
    this.#finish(
      frame.id,
      fail(error.code, error.message, error.retryAfterMilliseconds),
    );
  }

  #finish(id: number, outcome: Outcome<unknown>): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    pending?.done.resolve(outcome);
  }

  async #serve(frame: Frame): Promise<void> {
    const controller = new AbortController();
    this.#served.set(frame.id, controller);
    const outcome = await this.#runHandler(frame, controller.signal);
    this.#served.delete(frame.id);
    if (controller.signal.aborted) return;
    if (outcome.ok) {
      this.#send({ type: "reply", id: frame.id, body: outcome.val });
      return;
    }
    this.#send({ type: "error", id: frame.id, body: encodeError(outcome.val) });
  }

  async #runHandler(
    frame: Frame,
    signal: AbortSignal,
  ): Promise<Outcome<unknown>> {
    const name = frame.name ?? "";
    const handlers = this.#parts.handlers as Readonly<
      Record<string, AnyHandler>
    >;
    const handler = Object.hasOwn(handlers, name) ? handlers[name] : undefined;
    if (handler === undefined) {
      return fail(
        RESULT_CODES.UNKNOWN_METHOD,
        "This process has no such method",
      );
    }
    const context: CallContext<unknown> = {
      peer: this.peer,
      signal,
      sendChunk: (body) => {
        if (signal.aborted) return;
        this.#send({ type: "chunk", id: frame.id, body });
      },
    };
    try {
      return await handler(frame.body, context);
    } catch (thrown) {
      const error = describeThrown(thrown);
      return fail(error.code, error.message);
    }
  }
}

/**
 * Multiplexes calls and replies on one open connection. Detects a silent peer
 * with pings while a call waits for data.
 */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import {
  ABORTED,
  createDeferred,
  decodeError,
  type Deferred,
  encodeError,
  fail,
  type HandlerName,
  type InternalHandlers,
  type Metrics,
  type Outcome,
  RESULT_CODES,
  type ResultCode,
  toCodedError,
  type WireError,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import {
  checkFrame,
  encodeFrame,
  type Frame,
  type FrameReader,
  LENGTH_BYTES,
} from "./frame.ts";
import type {
  CallContext,
  CallOptions,
  HandlerTable,
  PeerClient,
} from "./handlers.ts";
import { RequestAgeEstimator } from "./request_age.ts";

/** Time between two checks of the connections that wait for data, ms. */
const CHECK_INTERVAL_MILLISECONDS = 500;
/** Time without data after a call before the peer is pinged, ms; most replies arrive earlier. */
const PING_DELAY_MILLISECONDS = 250;
/** Time without data after a call before a replacement is tried, ms: the first ping was sent a check earlier. */
const REPLACE_DELAY_MILLISECONDS = 1_000;
/** Size of a call from which the time for its transfer counts, bytes. */
const LARGE_CALL_BYTES = 65_536;
/** Lowest bandwidth that is assumed for large calls, bytes per millisecond. */
const MIN_BYTES_PER_MILLISECOND = 100;
/** Time without data after a call before the connection is closed, ms. */
const MAX_SILENCE_MILLISECONDS = 4_000;
/** Id of a ping that requests a reply. */
const PING_REQUEST = 1;
/** Id of a ping that replies to another. */
const PING_REPLY = 0;
/** Unsent bytes above which the connection is closed. */
const MAX_UNSENT_BYTES = 256 * 1_024 * 1_024;

/** Connections that have sent a call and received no data since. */
const AWAITING_DATA = new Set<Connection>();
let checkTimer: NodeJS.Timeout | undefined;

/** Schedules checks with one timer for all connections; it stops while none waits for data. */
function scheduleChecks(): void {
  if (checkTimer !== undefined) return;
  checkTimer = setTimeout(() => {
    checkTimer = undefined;
    const now = performance.now();
    for (const connection of [...AWAITING_DATA]) connection.checkSilence(now);
    if (AWAITING_DATA.size > 0) scheduleChecks();
  }, CHECK_INTERVAL_MILLISECONDS);
  checkTimer.unref();
}

/** Created only once because every streamed call ends with this outcome. */
const CANCELLED_CALL = fail(
  RESULT_CODES.CANCELLED,
  "The call was cancelled",
);

/** Outcome of a call whose reply cannot be sent. */
const LARGE_REPLY = fail(
  RESULT_CODES.INTERNAL,
  "The reply is larger than an internal frame",
);

interface PendingCall {
  readonly done: Deferred<Outcome<unknown>>;
  readonly onChunk: ((chunk: never) => void) | undefined;
  /** Size of the call's frame. */
  bytes: number;
}

type AnyHandler = (
  request: unknown,
  context: CallContext<unknown>,
) => Promise<Outcome<unknown>>;

/** Options for a connection whose handshake has completed. */
export interface ConnectionOptions {
  readonly socket: Socket;
  readonly reader: FrameReader;
  readonly peer: string;
  readonly handlers: HandlerTable;
  /** Called when the connection is closed because the peer sent a malformed or oversized frame. */
  readonly onMalformed: (code: ResultCode) => void;
  /**
   * Called repeatedly while the peer does not answer, with the time since which it
   * has been silent, monotonic, ms.
   */
  readonly onSilence?: (silentSince: number) => void;
  readonly metrics?: Metrics;
}

/** A connection whose peer has proved that it knows the shared key. */
export class Connection implements PeerClient {
  readonly peer: string;
  readonly closed: Promise<void>;
  readonly #options: ConnectionOptions;
  readonly #closed: Deferred<void> = createDeferred<void>();
  readonly #pending = new Map<number, PendingCall>();
  /** Calls whose handlers are running, by call id. */
  readonly #running = new Map<number, ServedCall>();
  readonly #ages = new RequestAgeEstimator();
  #nextId = 1;
  #open = true;
  #corked = false;
  /** Bytes of the frames that are written at the next uncork. */
  #corkedBytes = 0;
  /** Time of the first call sent since data last arrived, monotonic, ms; Infinity if there is none. */
  #silentSince = Infinity;

  constructor(options: ConnectionOptions) {
    this.#options = options;
    this.peer = options.peer;
    this.closed = this.#closed.promise;
    options.socket.setNoDelay(true);
    options.socket.on("data", (bytes: Buffer) => this.#read(bytes));
    options.socket.on("error", () => this.close());
    options.socket.on("close", () => this.close());
  }

  /** True until the connection closes. */
  get isOpen(): boolean {
    return this.#open;
  }

  /** Bytes in the socket's write buffer that are not sent yet. */
  get unsentBytes(): number {
    return this.#options.socket.writableLength;
  }

  /** Handles messages that arrived together with the end of the handshake. */
  handleEarlyMessages(messages: readonly unknown[]): void {
    for (const message of messages) this.#handleMessage(message);
  }

  /** Calls a method of the peer; see {@linkcode PeerClient}. */
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
    const pending: PendingCall = {
      done,
      onChunk: options.onChunk as PendingCall["onChunk"],
      bytes: 0,
    };
    this.#pending.set(id, pending);
    const now = performance.now();
    const frame = encodeFrame({
      type: "call",
      id,
      name,
      sentAt: Math.round(now),
      timeout: Math.ceil(options.timeoutMilliseconds),
      body: request,
    });
    if (!this.#fits(frame)) {
      this.#pending.delete(id);
      return fail(
        RESULT_CODES.FRAME_TOO_LARGE,
        `Call ${name} is larger than an internal frame and was not sent`,
      );
    }
    pending.bytes = this.#write(frame);
    this.#expectData(now);
    const abandon = (outcome: Outcome<never>) => {
      if (!this.#pending.delete(id)) return;
      this.#send({ type: "cancel", id });
      done.resolve(outcome);
    };
    const abort = () => abandon(CANCELLED_CALL);
    const timer = setTimeout(
      () => abandon(fail(RESULT_CODES.TIMEOUT, `Call ${name} timed out`)),
      options.timeoutMilliseconds,
    );
    options.signal?.addEventListener("abort", abort, { once: true });
    if (options.signal?.aborted) abort();
    const outcome = await done.promise;
    clearTimeout(timer);
    options.signal?.removeEventListener("abort", abort);
    return outcome as Outcome<InternalHandlers[N]["reply"]>;
  }

  /** Closes the connection; calls in flight end with CONNECTION_LOST. */
  close(): void {
    if (!this.#open) return;
    this.#open = false;
    AWAITING_DATA.delete(this);
    this.#options.socket.destroy();
    for (const pending of this.#pending.values()) {
      pending.done.resolve(
        fail(
          RESULT_CODES.CONNECTION_LOST,
          "The connection closed before the reply arrived",
        ),
      );
    }
    this.#pending.clear();
    for (const served of this.#running.values()) served.abort();
    this.#running.clear();
    this.#closed.resolve(undefined);
  }

  /**
   * Pings the peer after a short silence, reports a longer one, and closes the
   * connection in the end; called while it waits for data.
   */
  checkSilence(now: number): void {
    const silentMilliseconds = now - this.#silentSince;
    if (silentMilliseconds > MAX_SILENCE_MILLISECONDS) return this.close();
    if (silentMilliseconds < PING_DELAY_MILLISECONDS) return;
    this.#send({ type: "ping", id: PING_REQUEST });
    const transferMilliseconds = this.#countLargeBytes() /
      MIN_BYTES_PER_MILLISECOND;
    const delay = REPLACE_DELAY_MILLISECONDS + transferMilliseconds;
    if (silentMilliseconds < delay) return;
    this.#options.onSilence?.(this.#silentSince);
  }

  /** Pings the peer; the connection closes if it stays silent. */
  probe(now: number): void {
    this.#send({ type: "ping", id: PING_REQUEST });
    this.#expectData(now);
  }

  /** True if the connection is open and the peer has been silent ever since a time. */
  isSilentSince(silentSince: number): boolean {
    return this.#open && this.#silentSince === silentSince;
  }

  /** Returns the bytes of large calls that are not answered: pings wait behind them. */
  #countLargeBytes(): number {
    let bytes = 0;
    for (const pending of this.#pending.values()) {
      if (pending.bytes >= LARGE_CALL_BYTES) bytes += pending.bytes;
    }
    return bytes;
  }

  /** Starts checks until data arrives; an idle connection needs none. */
  #expectData(now: number): void {
    if (!this.#open || this.#silentSince !== Infinity) return;
    this.#silentSince = now;
    AWAITING_DATA.add(this);
    scheduleChecks();
  }

  /**
   * Returns true if the peer accepts a frame of this size. A larger one would
   * close the connection, and with it end all other calls.
   */
  #fits(frame: Buffer): boolean {
    return frame.length - LENGTH_BYTES <= this.#options.reader.maxBytes;
  }

  /** Sends a frame and returns its size; 0 if it is not sent. */
  #send(frame: Frame): number {
    return this.#open ? this.#write(encodeFrame(frame)) : 0;
  }

  /** Writes an encoded frame and returns its size; 0 if it is not sent. */
  #write(bytes: Buffer): number {
    if (!this.#open) return 0;
    const socket = this.#options.socket;
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      this.close();
      return 0;
    }
    if (!this.#corked) {
      // Frames sent in one iteration of the event loop are written together.
      this.#corked = true;
      socket.cork();
      setImmediate(() => {
        this.#corked = false;
        this.#countBytes("sent", this.#corkedBytes);
        this.#corkedBytes = 0;
        socket.uncork();
      });
    }
    this.#corkedBytes += bytes.length;
    socket.write(bytes);
    return bytes.length;
  }

  #countBytes(direction: "sent" | "received", bytes: number): void {
    this.#options.metrics?.peerBytes.inc({ direction }, bytes);
  }

  #read(bytes: Buffer): void {
    if (this.#silentSince !== Infinity) {
      this.#silentSince = Infinity;
      AWAITING_DATA.delete(this);
    }
    this.#countBytes("received", bytes.length);
    const messages = this.#options.reader.push(bytes);
    if (messages.err) return this.#reject(messages.val.code);
    for (const message of messages.val) this.#handleMessage(message);
  }

  #handleMessage(message: unknown): void {
    const frame = checkFrame(message);
    if (frame.err) return this.#reject(frame.val.code);
    this.#handleFrame(frame.val);
  }

  #reject(code: ResultCode): void {
    this.#options.onMalformed(code);
    this.close();
  }

  #handleFrame(frame: Frame): void {
    if (frame.type === "call") return void this.#serve(frame);
    if (frame.type === "ping") {
      if (frame.id !== PING_REQUEST) return;
      return void this.#send({ type: "ping", id: PING_REPLY });
    }
    if (frame.type === "cancel") {
      return this.#running.get(frame.id)?.abort();
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
    const readAt = performance.now();
    const served = new ServedCall({
      peer: this.peer,
      ageMilliseconds: this.#findAge(frame, readAt),
      timeoutMilliseconds: frame.timeout ?? Infinity,
      readAt,
      sendChunk: (body) => this.#send({ type: "chunk", id: frame.id, body }),
    });
    this.#running.set(frame.id, served);
    const outcome = await this.#runHandler(frame, served);
    this.#running.delete(frame.id);
    if (served.isAborted) return;
    if (outcome.ok) {
      const reply = encodeFrame({
        type: "reply",
        id: frame.id,
        body: outcome.val,
      });
      if (this.#fits(reply)) return void this.#write(reply);
    }
    // FRAME_TOO_LARGE would say that the call has not run.
    const error = outcome.ok ? LARGE_REPLY.val : outcome.val;
    this.#send({ type: "error", id: frame.id, body: encodeError(error) });
  }

  #findAge({ sentAt }: Frame, readAt: number): number {
    return sentAt === undefined ? 0 : this.#ages.estimate({ sentAt, readAt });
  }

  async #runHandler(
    frame: Frame,
    context: CallContext<unknown>,
  ): Promise<Outcome<unknown>> {
    const name = frame.name ?? "";
    const handlers = this.#options.handlers as Readonly<
      Record<string, AnyHandler>
    >;
    const handler = Object.hasOwn(handlers, name) ? handlers[name] : undefined;
    if (handler === undefined) {
      return fail(
        RESULT_CODES.UNKNOWN_METHOD,
        "This process does not serve the called method",
      );
    }
    try {
      return await handler(frame.body, context);
    } catch (thrown) {
      const error = toCodedError(thrown);
      return fail(error.code, error.message);
    }
  }
}

/** A call that this process serves. */
class ServedCall implements CallContext<unknown> {
  readonly peer: string;
  readonly ageMilliseconds: number;
  readonly deadlineAt: number;
  readonly sendChunk: (body: unknown) => void;
  #isAborted = false;
  /** Created only for a handler that reads the signal; most calls need none. */
  #controller: AbortController | undefined;

  constructor(options: {
    readonly peer: string;
    readonly ageMilliseconds: number;
    readonly timeoutMilliseconds: number;
    /** When the call was read, monotonic, ms. */
    readonly readAt: number;
    readonly sendChunk: (body: unknown) => void;
  }) {
    const { readAt, ageMilliseconds, timeoutMilliseconds } = options;
    this.peer = options.peer;
    this.ageMilliseconds = ageMilliseconds;
    this.deadlineAt = readAt - ageMilliseconds + timeoutMilliseconds;
    this.sendChunk = (body) => {
      if (!this.#isAborted) options.sendChunk(body);
    };
  }

  /** True once the caller has cancelled the call or its connection has closed. */
  get isAborted(): boolean {
    return this.#isAborted;
  }

  get signal(): AbortSignal {
    if (this.#controller === undefined) {
      this.#controller = new AbortController();
      if (this.#isAborted) this.#controller.abort(ABORTED);
    }
    return this.#controller.signal;
  }

  /** Aborts the call. */
  abort(): void {
    this.#isAborted = true;
    this.#controller?.abort(ABORTED);
  }
}

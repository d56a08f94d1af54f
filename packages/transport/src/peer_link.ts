/** Keeps a connection to one other daemon open and reconnects it in the background. */

import { connect as connectSocket, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import {
  ABORTED,
  createDeferred,
  fail,
  type HandlerName,
  type InternalHandlers,
  type Logger,
  type Metrics,
  type Outcome,
  RESULT_CODES,
  sleep,
  waitWithTimeout,
  WakeSignal,
} from "@mallowlift/core";
import { parseAddress } from "./address.ts";
import { Connection } from "./connection.ts";
import { encodeFrame, FrameReader } from "./frame.ts";
import type { CallOptions, PeerClient } from "./handlers.ts";
import {
  checkProof,
  createHello,
  createProof,
  HANDSHAKE_MAX_BYTES,
  readNonce,
  type ServerProof,
} from "./handshake.ts";
import { HandshakeMessages } from "./peer_server.ts";

/** Delay after the first failed attempt and after a lost connection, ms. */
const MIN_RETRY_DELAY_MILLISECONDS = 20;
/** Longest delay between two attempts to connect, ms: short enough to reach a starting peer before pending calls time out. */
const MAX_RETRY_DELAY_MILLISECONDS = 160;

/** Options of a link. */
export interface PeerLinkOptions {
  /** Name of this daemon. */
  readonly name: string;
  readonly sharedKey: string;
  readonly maxFrameBytes: number;
  /** Timeout of one attempt to connect, and of a call's wait for a connection, ms. */
  readonly connectMilliseconds: number;
  readonly logger?: Logger;
  readonly metrics?: Metrics;
}

/** Keeps a connection to one address open until it is stopped. */
export class PeerLink implements PeerClient {
  readonly address: string;
  readonly #options: PeerLinkOptions;
  readonly #stopped = new AbortController();
  /** Woken when an attempt to connect succeeds or fails. */
  readonly #attemptEnded = new WakeSignal();
  #connection: Connection | undefined;
  #lastUsedAt = performance.now();
  /** True after a failed attempt to connect: calls then fail at once, so that the caller can use another peer. */
  #lastAttemptFailed = false;
  #isReplacing = false;

  constructor(address: string, options: PeerLinkOptions) {
    this.address = address;
    this.#options = options;
    void this.#keepConnected();
  }

  /** True while a connection is open. */
  get isConnected(): boolean {
    return this.#connection?.isOpen === true;
  }

  /** Bytes that are not sent yet; 0 without a connection. */
  get unsentBytes(): number {
    return this.#connection?.unsentBytes ?? 0;
  }

  /** Time when the last call started, monotonic, ms. */
  get lastUsedAt(): number {
    return this.#lastUsedAt;
  }

  /**
   * Calls a method of the peer. Waits for a connection for at most
   * `connectMilliseconds`; NOT_CONNECTED means that nothing was sent.
   */
  async call<N extends HandlerName>(
    name: N,
    request: InternalHandlers[N]["request"],
    options: CallOptions<N>,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    this.#lastUsedAt = performance.now();
    if (!this.isConnected && !this.#lastAttemptFailed) {
      const limit = Math.min(
        this.#options.connectMilliseconds,
        options.timeoutMilliseconds,
      );
      await this.#attemptEnded.wait(limit);
    }
    const connection = this.#connection;
    if (connection === undefined || !connection.isOpen) {
      return fail(
        RESULT_CODES.NOT_CONNECTED,
        `No connection to ${this.address}`,
      );
    }
    return await connection.call(name, request, options);
  }

  /** Closes the connection and stops reconnecting. */
  stop(): void {
    this.#stopped.abort(ABORTED);
    this.#connection?.close();
  }

  async #keepConnected(): Promise<void> {
    let delay = MIN_RETRY_DELAY_MILLISECONDS;
    while (!this.#stopped.signal.aborted) {
      const connection = await this.#connect();
      this.#lastAttemptFailed = connection === undefined;
      if (connection === undefined) {
        this.#attemptEnded.wake();
        await sleep(delay, this.#stopped.signal);
        delay = Math.min(delay * 2, MAX_RETRY_DELAY_MILLISECONDS);
        continue;
      }
      delay = MIN_RETRY_DELAY_MILLISECONDS;
      this.#connection = connection;
      if (this.#stopped.signal.aborted) connection.close();
      this.#attemptEnded.wake();
      while (this.#connection?.isOpen) await this.#connection.closed;
      await sleep(MIN_RETRY_DELAY_MILLISECONDS, this.#stopped.signal);
    }
  }

  /**
   * Replaces a silent connection if the peer completes the handshake of a new one
   * first. Connections can go silent without a reset, for example if a firewall
   * discards their state; a frozen or unreachable peer accepts no new one either.
   */
  async #replaceSilent(silentSince: number): Promise<void> {
    const silent = this.#connection;
    if (this.#isReplacing || silent === undefined) return;
    this.#isReplacing = true;
    const replacement = await this.#connect();
    this.#isReplacing = false;
    if (replacement === undefined) return;
    if (!silent.isSilentSince(silentSince)) return replacement.close();
    this.#connection = replacement;
    silent.close();
    const { logger, metrics } = this.#options;
    metrics?.silentConnections.inc();
    logger?.warn("Silent connection replaced", {
      address: this.address,
      silent_ms: Math.round(performance.now() - silentSince),
    });
  }

  async #connect(): Promise<Connection | undefined> {
    const socket = connectSocket(parseAddress(this.address));
    const limit = this.#options.connectMilliseconds;
    const connection = await waitWithTimeout(this.#handshake(socket), limit);
    if (connection === undefined) socket.destroy();
    return connection;
  }

  async #handshake(socket: Socket): Promise<Connection | undefined> {
    const connected = createDeferred<boolean>();
    socket.once("connect", () => connected.resolve(true));
    socket.on("error", () => connected.resolve(false));
    const reader = new FrameReader(HANDSHAKE_MAX_BYTES);
    const messages = new HandshakeMessages(socket, reader);
    if (!await connected.promise) return undefined;
    const hello = createHello();
    socket.write(encodeFrame(hello));
    const reply = await messages.next() as Partial<ServerProof> | undefined;
    const serverNonce = readNonce(reply);
    if (serverNonce === undefined) return undefined;
    const { sharedKey, name } = this.#options;
    const nonces = { client: hello.nonce, server: serverNonce };
    const proved = checkProof("server", nonces, {
      sharedKey,
      proof: reply?.proof,
    });
    if (!proved) return undefined;
    const proof = createProof("client", nonces, sharedKey);
    socket.write(encodeFrame({ proof, name }));
    messages.stop();
    reader.setLimit(this.#options.maxFrameBytes);
    return new Connection({
      socket,
      reader,
      peer: this.address,
      handlers: {},
      onMalformed: () => undefined,
      onSilence: (silentSince) => void this.#replaceSilent(silentSince),
      metrics: this.#options.metrics,
    });
  }
}

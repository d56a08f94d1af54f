/** A link to one other daemon, reconnected by its own task for as long as it lives. */

import { connect as connectSocket, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import {
  ABORTED,
  createDeferred,
  fail,
  type HandlerName,
  type InternalHandlers,
  type Metrics,
  type Outcome,
  RESULT_CODES,
  sleep,
  waitAtMost,
  WakeSignal,
} from "@mallowlift/core";
import { parseAddress } from "./address.ts";
import { Connection } from "./connection.ts";
import { encodeFrame, FrameReader } from "./frame.ts";
import type { Caller, CallOptions } from "./handlers.ts";
import {
  checkProof,
  createHello,
  createProof,
  HANDSHAKE_MAX_BYTES,
  readNonce,
  type ServerProof,
} from "./handshake.ts";
import { HandshakeMessages } from "./peer_server.ts";

const FIRST_RETRY_MILLISECONDS = 20;
/** Longest pause between two attempts, ms: a peer that starts is found while callers still wait. */
const LAST_RETRY_MILLISECONDS = 160;

/** What a link needs. */
export interface PeerLinkOptions {
  /** Name of this daemon. */
  readonly name: string;
  readonly sharedKey: string;
  readonly maxFrameBytes: number;
  readonly connectMilliseconds: number;
  readonly metrics?: Metrics;
}

/** Keeps a connection to one address open. */
export class PeerLink implements Caller {
  readonly address: string;
  readonly #options: PeerLinkOptions;
  readonly #stopped = new AbortController();
  readonly #changed = new WakeSignal();
  #connection: Connection | undefined;
  #lastUsedAt = performance.now();
  /** True after a failed attempt, so that callers look elsewhere at once. */
  #isRefused = false;

  constructor(address: string, options: PeerLinkOptions) {
    this.address = address;
    this.#options = options;
    void this.#keepConnected();
  }

  /** True while a connection is open. */
  get isConnected(): boolean {
    return this.#connection?.isOpen === true;
  }

  /** Bytes that wait to be sent; none without a connection. */
  get unsentBytes(): number {
    return this.#connection?.unsentBytes ?? 0;
  }

  /** When the link last began to carry a call, by the monotonic clock, ms. */
  get lastUsedAt(): number {
    return this.#lastUsedAt;
  }

  /**
   * Calls a method of the peer. Waits for a connection no longer than the
   * connect limit; NOT_CONNECTED means that nothing was sent.
   */
  async call<N extends HandlerName>(
    name: N,
    request: InternalHandlers[N]["request"],
    options: CallOptions<N>,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    this.#lastUsedAt = performance.now();
    if (!this.isConnected && !this.#isRefused) {
      const limit = Math.min(
        this.#options.connectMilliseconds,
        options.timeoutMilliseconds,
      );
      await this.#changed.wait(limit);
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

  /** Closes the link for good. */
  stop(): void {
    this.#stopped.abort(ABORTED);
    this.#connection?.close();
  }

  async #keepConnected(): Promise<void> {
    let delay = FIRST_RETRY_MILLISECONDS;
    while (!this.#stopped.signal.aborted) {
      const connection = await this.#connect();
      this.#isRefused = connection === undefined;
      if (connection === undefined) {
        this.#changed.wake();
        await sleep(delay, this.#stopped.signal);
        delay = Math.min(delay * 2, LAST_RETRY_MILLISECONDS);
        continue;
      }
      delay = FIRST_RETRY_MILLISECONDS;
      this.#connection = connection;
      if (this.#stopped.signal.aborted) connection.close();
      this.#changed.wake();
      await connection.closed;
      await sleep(FIRST_RETRY_MILLISECONDS, this.#stopped.signal);
    }
  }

  async #connect(): Promise<Connection | undefined> {
    const socket = connectSocket(parseAddress(this.address));
    const limit = this.#options.connectMilliseconds;
    const connection = await waitAtMost(this.#shakeHands(socket), limit);
    if (connection === undefined) socket.destroy();
    return connection;
  }

  async #shakeHands(socket: Socket): Promise<Connection | undefined> {
    const connected = createDeferred<boolean>();
    socket.once("connect", () => connected.resolve(true));
    socket.on("error", () => connected.resolve(false));
    const reader = new FrameReader(HANDSHAKE_MAX_BYTES);
    const messages = new HandshakeMessages(socket, reader);
    if (!await connected.promise) return undefined;
    const hello = createHello();
    socket.write(encodeFrame(hello));
    const answer = await messages.next() as Partial<ServerProof> | undefined;
    const serverNonce = readNonce(answer);
    if (serverNonce === undefined) return undefined;
    const { sharedKey, name } = this.#options;
    const nonces = { client: hello.nonce, server: serverNonce };
    const proved = checkProof("server", nonces, {
      sharedKey,
      proof: answer?.proof,
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
      metrics: this.#options.metrics,
    });
  }
}

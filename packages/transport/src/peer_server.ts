/** Accepts connections from other daemons and serves their calls. */

import type { Buffer } from "node:buffer";
import { createServer, type Server, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import {
  createDeferred,
  type Logger,
  type Metrics,
  RESULT_CODES,
  type ResultCode,
  waitWithTimeout,
} from "@mallowlift/core";
import { joinAddress, parseAddress } from "./address.ts";
import { Connection } from "./connection.ts";
import { encodeFrame, FrameReader } from "./frame.ts";
import type { HandlerTable } from "./handlers.ts";
import {
  checkProof,
  type ClientProof,
  createHello,
  createProof,
  HANDSHAKE_MAX_BYTES,
  readNonce,
} from "./handshake.ts";

/**
 * Time without traffic after which a client is pinged, ms. A server sends nothing
 * else of its own, and would keep a connection that has gone silent for good.
 */
const IDLE_PROBE_MILLISECONDS = 30_000;

/** Options of a server. */
export interface PeerServerOptions {
  readonly listen: string;
  readonly sharedKey: string;
  readonly maxFrameBytes: number;
  /** Timeout of the handshake of one connection, ms. */
  readonly handshakeMilliseconds: number;
  /** Time without traffic after which a client is pinged, ms. */
  readonly idleProbeMilliseconds?: number;
  readonly handlers: HandlerTable;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Listens for other daemons and authenticates their connections. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = createServer((socket) => void this.#accept(socket));
  }

  /** Starts listening and returns the bound address; throws if the port cannot be opened. */
  async start(): Promise<string> {
    const { host, port } = parseAddress(this.#options.listen);
    const ready = createDeferred<Error | undefined>();
    this.#server.once("error", (error) => ready.resolve(error));
    this.#server.listen(port, host, () => ready.resolve(undefined));
    const failure = await ready.promise;
    if (failure !== undefined) throw failure;
    const bound = this.#server.address();
    if (bound === null || typeof bound === "string") {
      return this.#options.listen;
    }
    return joinAddress({ host, port: bound.port });
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    const closed = createDeferred<void>();
    this.#server.close(() => closed.resolve(undefined));
    for (const socket of this.#sockets) socket.destroy();
    await closed.promise;
  }

  async #accept(socket: Socket): Promise<void> {
    this.#sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#sockets.delete(socket));
    const reader = new FrameReader(HANDSHAKE_MAX_BYTES);
    const messages = new HandshakeMessages(socket, reader);
    const limit = this.#options.handshakeMilliseconds;
    const peer = await waitWithTimeout(
      this.#handshake(socket, messages),
      limit,
    );
    if (peer === undefined) {
      this.#reportMalformed(RESULT_CODES.HANDSHAKE_REFUSED);
      socket.end(
        encodeFrame({ refused: RESULT_CODES.HANDSHAKE_REFUSED.number }),
      );
      setTimeout(() => socket.destroy(), limit).unref();
      return;
    }
    messages.stop();
    reader.setLimit(this.#options.maxFrameBytes);
    const connection = new Connection({
      socket,
      reader,
      peer,
      handlers: this.#options.handlers,
      onMalformed: (code) => this.#reportMalformed(code),
      metrics: this.#options.metrics,
    });
    const { idleProbeMilliseconds = IDLE_PROBE_MILLISECONDS } = this.#options;
    socket.setTimeout(
      idleProbeMilliseconds,
      () => connection.probe(performance.now()),
    );
    connection.handleEarlyMessages(messages.takeRemaining());
  }

  async #handshake(
    socket: Socket,
    messages: HandshakeMessages,
  ): Promise<string | undefined> {
    const clientNonce = readNonce(await messages.next());
    if (clientNonce === undefined) return undefined;
    const hello = createHello();
    const nonces = { client: clientNonce, server: hello.nonce };
    const sharedKey = this.#options.sharedKey;
    const proof = createProof("server", nonces, sharedKey);
    socket.write(encodeFrame({ ...hello, proof }));
    const reply = await messages.next() as Partial<ClientProof> | undefined;
    const proved = checkProof("client", nonces, {
      sharedKey,
      proof: reply?.proof,
    });
    if (!proved || typeof reply?.name !== "string") return undefined;
    return reply.name;
  }

  #reportMalformed(code: ResultCode): void {
    this.#options.metrics.malformedFrames.inc({ reason: code.name });
    this.#options.logger.warn("Connection refused", { code: code.number });
  }
}

/** Reads the messages of a handshake one at a time. */
export class HandshakeMessages {
  readonly #socket: Socket;
  readonly #reader: FrameReader;
  readonly #messages: unknown[] = [];
  /** Resolves when messages arrive or no more can come. */
  #changed = createDeferred<void>();
  #ended = false;
  readonly #onData = (bytes: Buffer): void => {
    const messages = this.#reader.push(bytes);
    if (messages.err) this.#ended = true;
    else this.#messages.push(...messages.val);
    this.#changed.resolve(undefined);
  };
  readonly #onClose = (): void => {
    this.#ended = true;
    this.#changed.resolve(undefined);
  };

  constructor(socket: Socket, reader: FrameReader) {
    this.#socket = socket;
    this.#reader = reader;
    socket.on("data", this.#onData);
    socket.on("close", this.#onClose);
  }

  /** Waits for the next message; undefined if the stream has closed or is malformed. */
  async next(): Promise<unknown> {
    while (this.#messages.length === 0) {
      if (this.#ended) return undefined;
      await this.#changed.promise;
      this.#changed = createDeferred<void>();
    }
    return this.#messages.shift();
  }

  /** Stops reading, so that the connection can take over the socket. */
  stop(): void {
    this.#socket.off("data", this.#onData);
    this.#socket.off("close", this.#onClose);
  }

  /** Removes and returns the messages that arrived after the handshake. */
  takeRemaining(): readonly unknown[] {
    return this.#messages.splice(0);
  }
}

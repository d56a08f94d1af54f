/** An HTTP server that runs the requests of a connection one after another. */

import { type IncomingMessage, Server, type ServerOptions } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Logger } from "../logs/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { sleep } from "../shared/sleep.ts";
import {
  type ConnectionOwner,
  type LeftBehindReason,
  OrderedConnection,
} from "./ordered_connection.ts";
import { OrderedResponse } from "./ordered_response.ts";

/** Poll interval for open requests during a stop, ms. */
const STOP_POLL_MILLISECONDS = 25;
/**
 * Successive polls without an open request after which the remaining connections are
 * closed: a request may still be on its way on one of them.
 */
const STOP_QUIET_POLLS = 2;

/** Options of an {@linkcode OrderedServer}. */
export interface OrderedServerOptions {
  /** Name of the server in logs and metrics. */
  readonly part: string;
  readonly http?: ServerOptions;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Emits a request only when the answer before it on its connection has been sent and
 * the connection goes on. Requests behind an answer that ends the connection are
 * never emitted; they are logged and counted.
 *
 * @example
 * ```ts
 * const server = new OrderedServer({ part: "entry", logger, metrics });
 * server.on("request", (request, response) => response.end("answer"));
 * ```
 */
export class OrderedServer extends Server {
  readonly #options: OrderedServerOptions;
  readonly #connections = new Map<Socket, OrderedConnection>();
  readonly #owner: ConnectionOwner;
  #openRequests = 0;
  #isEnding = false;

  constructor(options: OrderedServerOptions) {
    super(
      { ...options.http, ServerResponse: OrderedResponse } as ServerOptions,
    );
    this.#options = options;
    const isEnding = () => this.#isEnding;
    this.#owner = {
      get isEnding() {
        return isEnding();
      },
      handleRead: () => ++this.#openRequests,
      handleEnd: () => this.#openRequests--,
      handleLeftBehind: (requests, reason) =>
        this.#recordLeftBehind(requests, reason),
    };
  }

  /** Requests that were read and not answered, including those that wait. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /**
   * From now on, ends each connection with the answer to the last request that was
   * read on it.
   */
  endConnections(): void {
    this.#isEnding = true;
  }

  /**
   * Accepts no new connections and resolves when all that was read is answered, or
   * after a time, ms. All connections are closed then.
   */
  async closeAnswered(maxMilliseconds: number): Promise<void> {
    const startedAt = performance.now();
    this.endConnections();
    let isClosed = false;
    this.close(() => isClosed = true);
    let quietPolls = 0;
    while (
      !isClosed && quietPolls < STOP_QUIET_POLLS &&
      performance.now() - startedAt < maxMilliseconds
    ) {
      this.closeIdleConnections();
      await sleep(STOP_POLL_MILLISECONDS);
      quietPolls = this.#openRequests > 0 ? 0 : quietPolls + 1;
    }
    this.closeAllConnections();
  }

  override closeIdleConnections(): void {
    // To Node, a connection is idle once its answer is written, also if not all of
    // it is sent; later calls close the connections that are idle now.
    for (const connection of this.#connections.values()) {
      if (connection.hasUnsentAnswer) return;
    }
    super.closeIdleConnections();
  }

  override emit(event: string, ...values: unknown[]): boolean {
    if (event === "request" || event === "checkContinue") {
      const [request, response] = values as [IncomingMessage, OrderedResponse];
      const run = () => void super.emit(event, ...values);
      this.#findConnection(request.socket).add(response, run);
      return true;
    }
    if (event === "clientError") {
      const [error, socket] = values as [NodeJS.ErrnoException, Socket];
      const connection = this.#connections.get(socket);
      if (connection?.handleError(error.code) === true) return true;
    }
    return super.emit(event, ...values);
  }

  #findConnection(socket: Socket): OrderedConnection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const connection = new OrderedConnection(socket, this.#owner);
    this.#connections.set(socket, connection);
    socket.once("close", () => this.#connections.delete(socket));
    return connection;
  }

  #recordLeftBehind(requests: number, reason: LeftBehindReason): void {
    const { part, logger, metrics } = this.#options;
    metrics.requestsLeftBehind.inc({ part, reason }, requests);
    logger.info("Requests left behind", { part, requests, reason });
  }
}

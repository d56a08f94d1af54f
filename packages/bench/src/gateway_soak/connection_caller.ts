/**
 * A caller that keeps using its connection until the gateway closes it. It sends
 * several requests ahead in one write, or large bodies in pieces, with deadlines
 * of its own.
 */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { createDeferred, sleep } from "@mallowlift/core";
import { WORK_HEADER } from "@mallowlift/mocks";
import type { GatewaySite, SiteDaemon } from "../gateways/gateway_site.ts";
import type { Random } from "../soak/random.ts";
import { AnswerReader, type ReadAnswer } from "./answer_reader.ts";
import type { GatewayLife, GatewayLives } from "./gateway_lives.ts";
import { HOME_WORKSPACE } from "./soak_workspaces.ts";

const PIECE_BYTES = 65_536;
const LARGE_BODY = Buffer.alloc(4_194_304, "x");
/** Size of a large body, pieces. */
const LARGE_PIECES = { least: 32, most: 63 };
const PIECE_PAUSE_MILLISECONDS = 4;
const MAX_PAUSE_MILLISECONDS = 60;
const RECONNECT_MILLISECONDS = 50;
/** Wait for answers, ms: beyond the deadlines of the requests of a connection. */
const ANSWER_WAIT_MILLISECONDS = 45_000;
/** Times that an upstream works on a request, ms; the first are more frequent. */
const WORK_MILLISECONDS = [10, 10, 50, 50, 300, 300, 1_000, 2_500, 5_000];
const DEADLINE_MILLISECONDS = [1_000, 4_000, 10_000];
/**
 * Timeout of the routes, ms. A stream has no other deadline: its own would break
 * it off after its head, without a whole answer.
 */
const ROUTE_MILLISECONDS = 20_000;
const PATHS = ["/read/x", "/write/x", "/resumable-stream/x"];

/** One request, as its caller knows it. */
export interface ConnectionRequest {
  readonly callId: string;
  readonly path: string;
  readonly workMilliseconds: number;
  /** Requests before it in the same write. */
  readonly ahead: number;
  readonly deadlineMilliseconds: number;
  /** When its first byte was written, by the local monotonic clock, ms. */
  readonly sentAt: number;
  /** When its connection closed without its answer; undefined if it did not. */
  closedAt: number | undefined;
  /** Process of the gateway that the connection leads to. */
  readonly life: GatewayLife;
  /** True once all its bytes are with the operating system. */
  isWritten: boolean;
  /** Its whole answer; undefined if none has come. */
  answer: ReadAnswer | undefined;
}

/** Options of {@linkcode ConnectionCaller}. */
export interface ConnectionCallerOptions {
  /** Prefix of the ids of all requests. */
  readonly name: string;
  readonly site: GatewaySite;
  readonly lives: GatewayLives;
  readonly random: Random;
  /** True to send large bodies only. */
  readonly sendsLargeBodies: boolean;
  readonly isOver: () => boolean;
  /** Called with each request before it is sent. */
  readonly record: (request: ConnectionRequest) => void;
}

/** Sends requests on one connection after the other. */
export class ConnectionCaller {
  readonly #options: ConnectionCallerOptions;
  #requestCount = 0;

  constructor(options: ConnectionCallerOptions) {
    this.#options = options;
  }

  /** Runs until the soak is over and the last answers have come. */
  async run(): Promise<void> {
    const { random, site, isOver } = this.#options;
    while (!isOver()) {
      await this.#useConnection(random.choose(site.gateways));
      await sleep(RECONNECT_MILLISECONDS);
    }
  }

  async #useConnection(gateway: SiteDaemon): Promise<void> {
    const { lives, random, isOver, sendsLargeBodies } = this.#options;
    const life = lives.find(gateway);
    const socket = connect(
      Number(new URL(gateway.callersUrl).port),
      "127.0.0.1",
    );
    socket.setNoDelay(true);
    const connection = new CallerConnection(socket);
    // The gateway is down, or stops to accept connections.
    const isOpen = await once(socket, "connect").then(() => true, () => false);
    // Another process may have taken the port since its life was read.
    const isSameLife = lives.find(gateway) === life;
    while (isOpen && isSameLife && connection.isUsable && !isOver()) {
      const count = sendsLargeBodies || random.happens(50)
        ? 1
        : random.between(2, 4);
      const requests = Array.from(
        { length: count },
        (_, ahead) => this.#createRequest(life, ahead),
      );
      if (sendsLargeBodies) await this.#sendLarge(connection, requests);
      else this.#sendSmall(connection, requests);
      await connection.waitForAnswers();
      await sleep(random.between(0, MAX_PAUSE_MILLISECONDS));
    }
    socket.destroy();
  }

  #createRequest(life: GatewayLife, ahead: number): ConnectionRequest {
    const { name, random, record } = this.#options;
    const path = random.choose(PATHS);
    const deadlineMilliseconds = random.choose(DEADLINE_MILLISECONDS);
    const request = {
      callId: `${name}-${++this.#requestCount}`,
      path,
      workMilliseconds: random.choose(WORK_MILLISECONDS),
      deadlineMilliseconds: path.includes("stream")
        ? ROUTE_MILLISECONDS
        : deadlineMilliseconds,
      ahead,
      sentAt: performance.now(),
      closedAt: undefined,
      life,
      isWritten: false,
      answer: undefined,
    };
    record(request);
    return request;
  }

  #writeHead(request: ConnectionRequest, bodyBytes: number): string {
    const { callId, path, workMilliseconds, deadlineMilliseconds } = request;
    return `POST ${path} HTTP/1.1\r\nhost: a.example\r\nx-call-id: ${callId}\r\n` +
      `authorization: Bearer ${HOME_WORKSPACE.key}\r\n` +
      `${WORK_HEADER}: ${workMilliseconds}\r\n` +
      `x-patience-ms: ${deadlineMilliseconds}\r\n` +
      `content-length: ${bodyBytes}\r\n\r\n`;
  }

  /** Sends requests ahead, all in one write. */
  #sendSmall(
    connection: CallerConnection,
    requests: readonly ConnectionRequest[],
  ): void {
    const texts = requests.map((request) => {
      const body = `body-${request.callId}`;
      return `${this.#writeHead(request, body.length)}${body}`;
    });
    connection.expect(requests);
    connection.write(Buffer.from(texts.join("")), () => {
      for (const request of requests) request.isWritten = true;
    });
  }

  async #sendLarge(
    connection: CallerConnection,
    requests: readonly ConnectionRequest[],
  ): Promise<void> {
    const { random } = this.#options;
    const { least, most } = LARGE_PIECES;
    for (const request of requests) {
      const pieces = random.between(least, most);
      const head = this.#writeHead(request, pieces * PIECE_BYTES);
      connection.expect([request]);
      connection.write(Buffer.from(head), () => undefined);
      for (let piece = 0; piece < pieces && connection.isUsable; piece++) {
        const bytes = LARGE_BODY.subarray(
          piece * PIECE_BYTES,
          (piece + 1) * PIECE_BYTES,
        );
        const isLast = piece === pieces - 1;
        await connection.writePiece(bytes, () => request.isWritten ||= isLast);
        await sleep(random.between(0, PIECE_PAUSE_MILLISECONDS));
      }
    }
  }
}

/** A connection, and the requests on it that wait for their answers in order. */
class CallerConnection {
  readonly #socket: Socket;
  readonly #reader = new AnswerReader();
  readonly #waiting: ConnectionRequest[] = [];
  #settled = createDeferred<void>();
  /** False once the connection takes no further request. */
  isUsable = true;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("data", (bytes) => {
      for (const answer of this.#reader.push(bytes)) this.#take(answer);
    });
    socket.on("end", () => {
      const answer = this.#reader.end();
      if (answer !== undefined) this.#take(answer);
    });
    // A gateway that ends resets its connections; the missing answers tell.
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.isUsable = false;
      for (const request of this.#waiting) request.closedAt = performance.now();
      this.#settled.resolve();
    });
  }

  /** Adds requests whose answers come next. */
  expect(requests: readonly ConnectionRequest[]): void {
    this.#waiting.push(...requests);
    this.#settled = createDeferred<void>();
    if (this.#socket.destroyed) this.#settled.resolve();
  }

  /** Writes bytes; calls `onWritten` once the operating system has them. */
  write(bytes: Buffer, onWritten: () => void): void {
    this.#socket.write(bytes, (error) => {
      if (error === undefined || error === null) onWritten();
    });
  }

  /** Writes bytes and resolves when they are written, or cannot be. */
  async writePiece(bytes: Buffer, onWritten: () => void): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#socket.write(bytes, (error) => {
        if (error === undefined || error === null) onWritten();
        resolve();
      })
    );
  }

  /** Resolves when all answers have come, or none will. */
  async waitForAnswers(): Promise<void> {
    const timer = setTimeout(
      () => this.#socket.destroy(),
      ANSWER_WAIT_MILLISECONDS,
    );
    await this.#settled.promise;
    clearTimeout(timer);
  }

  #take(answer: ReadAnswer): void {
    const request = this.#waiting.shift();
    if (request !== undefined) request.answer = answer;
    if (answer.closes) this.isUsable = false;
    if (this.#waiting.length === 0) this.#settled.resolve();
  }
}

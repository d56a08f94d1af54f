/** A fake upstream for the native dialect, which records the requests it ran. */

import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

const OK = 200;
const MISDIRECTED = 421;
const FAILED = 500;
const UNAVAILABLE = 503;
/** Header of a request with the time from it to the headers of its answer, ms. */
export const WORK_HEADER = "x-work-milliseconds";
/** Number and size in bytes of the parts of an answer to a "large" target. */
const LARGE_PARTS = 20;
const LARGE_PART_BYTES = 1_048_576;
/** Character code of "a"; each part repeats one letter, starting with "a". */
const FIRST_LETTER_CODE = 97;

/** Part of a target that sets how long its request takes, ms. */
const WORK_PATTERN = /[?&]work=(\d+)/;

/** Time from reading a request that ends the upstream to its end, ms. */
const END_DELAY_MILLISECONDS = 5;

/** One request that the upstream ran. */
export interface OpaqueRun {
  readonly callId: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly headers: IncomingHttpHeaders;
}

/** Faults that a test can enable at run time. */
export interface OpaqueFaults {
  /** Answers 503 with `x-not-run`, without running the request. */
  refusesRequests: boolean;
  /** Runs the request and answers 500. */
  fails: boolean;
  /** Runs the request and closes the connection without an answer. */
  dropsAnswers: boolean;
  /**
   * Closes a stream after this many events, and a large answer after this many
   * parts; Infinity for never.
   */
  closesAfter: number;
  /** Closes a stream between two events; otherwise inside an event. */
  closesBetweenEvents: boolean;
  /** Sends streams with neither a length nor chunks. */
  omitsFraming: boolean;
  /** Sends streams without a Content-Type. */
  omitsType: boolean;
  /** Time between two events of a stream, ms. */
  eventIntervalMilliseconds: number;
  /** Time from a request to the headers of its answer, ms. */
  silentMilliseconds: number;
  /** A body that contains this text ends the upstream; empty for none. */
  endsOn: string;
  /** Events of a stream that are sent before such a body ends the upstream. */
  endsAfterEvents: number;
  /** Resets the connections when the upstream ends; otherwise closes them. */
  resetsAtEnd: boolean;
  /** Time for which an upstream that has ended accepts no connection, ms. */
  downMilliseconds: number;
}

/**
 * A fake upstream. It answers with a stream if the path contains "stream", and
 * with a body of 20 MiB if it contains "large". A query such as `work=300` sets
 * the time until it answers, ms.
 */
export class OpaqueUpstream {
  readonly id: string;
  readonly runs: OpaqueRun[] = [];
  /** Ids of calls whose connection closed before the answer was complete. */
  readonly left: string[] = [];
  readonly faults: OpaqueFaults = {
    refusesRequests: false,
    fails: false,
    dropsAnswers: false,
    closesAfter: Infinity,
    closesBetweenEvents: false,
    omitsFraming: false,
    omitsType: false,
    eventIntervalMilliseconds: 1,
    silentMilliseconds: 0,
    endsOn: "",
    endsAfterEvents: 0,
    resetsAtEnd: false,
    downMilliseconds: 400,
  };
  /** Ids of the calls that ended the upstream. */
  readonly endedBy: string[] = [];
  /** Number of events in each stream. */
  events = 3;
  /** Bytes of each body that are recorded. */
  recordedBytes = Infinity;
  /** Bytes that are added to the data of each event. */
  paddingBytes = 0;
  /** Bytes that are added to each answer that is not a stream. */
  answerBytes = 0;
  /** Events that were written to all streams. */
  writtenEvents = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #port = 0;
  #isEnded = false;
  #isStopped = false;

  constructor(id: string) {
    this.id = id;
    this.#server = createServer((request, response) =>
      void this.#serve(request, response)
    );
    this.#server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  /** Address in the form `host:port`. */
  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Starts the server. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(this.#port, "127.0.0.1", () => resolve())
    );
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Stops and closes all connections. */
  stop(): void {
    this.#isStopped = true;
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Ends like a crashed process, and starts again at the same address. */
  async end(): Promise<void> {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    for (const socket of this.#sockets) {
      if (this.faults.resetsAtEnd) socket.resetAndDestroy();
      else socket.destroy();
    }
    await closed;
    await sleep(this.faults.downMilliseconds);
    this.#isEnded = false;
    if (!this.#isStopped) await this.start();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, this.recordedBytes);
    if (body === undefined) return;
    const callId = String(request.headers["x-call-id"]);
    response.setHeader("x-call-id", callId);
    if (request.headers["x-instance"] !== this.id) {
      response.writeHead(MISDIRECTED).end();
      return;
    }
    if (this.faults.refusesRequests) {
      response.writeHead(UNAVAILABLE, { "x-not-run": "1" }).end();
      return;
    }
    const target = request.url ?? "";
    const { method = "", headers } = request;
    this.runs.push({ callId, method, target, body, headers });
    response.on("close", () => {
      if (!response.writableFinished) this.left.push(callId);
    });
    if (this.faults.endsOn !== "" && body.includes(this.faults.endsOn)) {
      return await this.#endUnder(callId, response);
    }
    if (this.faults.fails) return void response.writeHead(FAILED).end("failed");
    if (this.faults.dropsAnswers) return void request.socket.destroy();
    const workMilliseconds = Number(
      headers[WORK_HEADER] ?? WORK_PATTERN.exec(target)?.[1] ??
        this.faults.silentMilliseconds,
    );
    if (workMilliseconds > 0) await sleep(workMilliseconds);
    if (target.includes("large")) return await this.#sendLargeAnswer(response);
    const last = Number(request.headers["last-event-id"] ?? 0);
    if (target.includes("stream")) await this.#stream(body, response, last);
    else {
      const padding = "x".repeat(this.answerBytes);
      response.writeHead(OK).end(`ran ${callId}${padding}`);
    }
  }

  /** Begins a request and ends before its answer is complete. */
  async #endUnder(callId: string, response: ServerResponse): Promise<void> {
    if (this.faults.omitsFraming) response.useChunkedEncodingByDefault = false;
    if (this.faults.endsAfterEvents > 0) {
      response.setHeader("content-type", "text/event-stream");
      for (let event = 1; event <= this.faults.endsAfterEvents; event++) {
        response.write(`id: ${event}\ndata: ${event}\n\n`);
      }
    }
    await sleep(END_DELAY_MILLISECONDS);
    // Of several such requests at once, the first one ends the upstream.
    if (!this.#isEnded) this.endedBy.push(callId);
    await this.end();
  }

  /** Sends a large answer, or its first parts if `closesAfter` is set. */
  async #sendLargeAnswer(response: ServerResponse): Promise<void> {
    const size = LARGE_PARTS * LARGE_PART_BYTES;
    response.writeHead(OK, { "content-length": size });
    for (let part = 0; part < LARGE_PARTS; part++) {
      if (part >= this.faults.closesAfter) return void response.destroy();
      const bytes = Buffer.alloc(LARGE_PART_BYTES, FIRST_LETTER_CODE + part);
      await new Promise((resolve) => response.write(bytes, resolve));
    }
    response.end();
  }

  /** Streams the events after the last one that the caller has received. */
  async #stream(
    prompt: string,
    response: ServerResponse,
    lastReceivedEvent: number,
  ): Promise<void> {
    if (this.faults.omitsFraming) response.useChunkedEncodingByDefault = false;
    if (!this.faults.omitsType) {
      response.setHeader("content-type", "text/event-stream");
    }
    response.writeHead(OK).flushHeaders();
    for (let event = lastReceivedEvent + 1; event <= this.events; event++) {
      if (event > this.faults.closesAfter) {
        if (!this.faults.closesBetweenEvents) {
          response.write(`id: ${event}\ndata: cut`);
        }
        // Without a delay, the head could be discarded with the connection.
        await sleep(this.faults.eventIntervalMilliseconds);
        return void response.destroy();
      }
      const data = describeEvent(prompt, event);
      const padding = "x".repeat(this.paddingBytes);
      response.write(`id: ${event}\ndata: ${data}${padding}\n\n`);
      this.writtenEvents++;
      do await sleep(this.faults.eventIntervalMilliseconds); while (
        response.writableNeedDrain && !response.destroyed
      );
      if (response.destroyed) return;
    }
    response.end();
  }
}

/**
 * Reads a body, up to a number of bytes; undefined if it has not arrived
 * completely, so that the request is not run.
 */
async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<string | undefined> {
  const parts: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const part of request as AsyncIterable<Buffer>) {
      if (bytes < maxBytes) parts.push(part);
      bytes += part.length;
    }
  } catch {
    // The gateway has closed the connection within the body.
    return undefined;
  }
  return Buffer.concat(parts).subarray(0, maxBytes).toString();
}

/** Returns the data of an event, which depends on the complete prompt. */
export function describeEvent(prompt: string, event: number): string {
  const digest = createHash("sha256").update(prompt).digest("hex");
  return `${event}-${digest.slice(0, 8)}`;
}

/** Returns the output that a history stores for a stream of this many events. */
export function describeOutput(prompt: string, events: number): string {
  let output = "";
  for (let event = 1; event <= events; event++) {
    output += `${describeEvent(prompt, event)}\n`;
  }
  return output;
}

/** Sends several requests ahead on one connection, for tests. */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

const HEAD_END = "\r\n\r\n";

/** A request that is sent ahead. */
export interface AheadRequest {
  readonly path: string;
  readonly callId?: string;
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** An answer as it arrived on the connection. */
export interface AheadAnswer {
  readonly status: number;
  readonly callId: string;
  readonly body: string;
  /** True if a length or chunks mark the end of the answer, which arrived. */
  readonly whole: boolean;
  /** True if the head says that the connection ends. */
  readonly closes: boolean;
}

/** Returns the bytes of requests as they are sent in one write. */
export function writeRequests(requests: readonly AheadRequest[]): Buffer {
  return Buffer.concat(requests.map((request) => {
    const { path, callId, method = "POST", body = "", headers = {} } = request;
    const lines = [
      `${method} ${path} HTTP/1.1`,
      "Host: a.example",
      ...(callId === undefined ? [] : [`X-Call-Id: ${callId}`]),
      `Content-Length: ${Buffer.byteLength(body)}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ];
    return Buffer.from(`${lines.join("\r\n")}${HEAD_END}${body}`);
  }));
}

/** A connection on which requests are sent ahead of their answers. */
export class AheadCaller {
  readonly socket: Socket;
  readonly #closed: Promise<void>;
  #bytes = Buffer.alloc(0);
  #wake = () => {};

  private constructor(socket: Socket) {
    this.socket = socket;
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => {
      this.#bytes = Buffer.concat([this.#bytes, bytes]);
      this.#wake();
    });
    this.#closed = new Promise((resolve) => socket.once("close", resolve));
    void this.#closed.then(() => this.#wake());
  }

  /** Opens a connection to a URL. */
  static async open(url: string): Promise<AheadCaller> {
    const { hostname, port } = new URL(url);
    const socket = connect(Number(port), hostname);
    await once(socket, "connect");
    return new AheadCaller(socket);
  }

  /** Answers that have begun to arrive, in their order. */
  get answers(): readonly AheadAnswer[] {
    return readAnswers(this.#bytes);
  }

  /** Sends requests in one write. */
  send(requests: readonly AheadRequest[]): void {
    this.socket.write(writeRequests(requests));
  }

  /** Sends bytes in pieces of the given sizes, with a pause between them. */
  async sendPieces(bytes: Buffer, sizes: readonly number[]): Promise<void> {
    let start = 0;
    for (const size of sizes) {
      if (start >= bytes.length) break;
      this.socket.write(bytes.subarray(start, start + size));
      start += size;
      await sleep(1);
    }
    this.socket.write(bytes.subarray(start));
  }

  /** Resolves with the answers once that many are whole, or the connection closed. */
  async readAnswers(count: number): Promise<readonly AheadAnswer[]> {
    while (this.answers.filter(({ whole }) => whole).length < count) {
      if (this.socket.closed) break;
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
    return this.answers;
  }

  /** Resolves when the connection has closed, with what arrived. */
  async readUntilClose(): Promise<readonly AheadAnswer[]> {
    await this.#closed;
    return this.answers;
  }
}

function readAnswers(bytes: Buffer): readonly AheadAnswer[] {
  const answers: AheadAnswer[] = [];
  let rest = String(bytes.toString("latin1"));
  for (;;) {
    const end = rest.indexOf(HEAD_END);
    if (end < 0) return answers;
    const head = rest.slice(0, end);
    const read = readBody(head, rest.slice(end + HEAD_END.length));
    answers.push({
      status: Number(head.split(" ")[1]),
      callId: findHeader(head, "x-call-id"),
      body: read.body,
      whole: read.rest !== undefined,
      closes: findHeader(head, "connection").toLowerCase() === "close",
    });
    if (read.rest === undefined) return answers;
    rest = read.rest;
  }
}

function findHeader(head: string, name: string): string {
  for (const line of head.split("\r\n").slice(1)) {
    const colon = line.indexOf(":");
    if (line.slice(0, colon).toLowerCase() === name) {
      return line.slice(colon + 1).trim();
    }
  }
  return "";
}

function readBody(
  head: string,
  text: string,
): { readonly body: string; readonly rest?: string } {
  const length = findHeader(head, "content-length");
  if (length !== "") {
    const body = text.slice(0, Number(length));
    if (body.length < Number(length)) return { body };
    return { body, rest: text.slice(body.length) };
  }
  if (findHeader(head, "transfer-encoding") !== "chunked") {
    return { body: text };
  }
  let body = "";
  let rest = text;
  for (;;) {
    const lineEnd = rest.indexOf("\r\n");
    if (lineEnd < 0) return { body };
    const size = Number.parseInt(rest.slice(0, lineEnd), 16);
    const chunk = rest.slice(lineEnd + 2, lineEnd + 2 + size);
    const after = lineEnd + 2 + size + 2;
    body += chunk;
    if (rest.length < after) return { body };
    rest = rest.slice(after);
    if (size === 0) return { body, rest };
  }
}

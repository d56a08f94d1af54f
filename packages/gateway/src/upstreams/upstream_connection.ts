/** One HTTP/1.1 connection to an upstream, with one request at a time. */

import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import {
  fail,
  type Outcome,
  RESULT_CODES,
  type ResultCode,
} from "@mallowlift/core";
import { parseAddress } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { AnswerHead } from "../dialect.ts";
import { AnswerParser } from "./answer_parser.ts";

/** Answers to earlier requests that are passed over before giving up. */
const MAX_PASSED_OVER = 4;

/** Whether an answer belongs to the request that waits for one. */
export type Belonging = "own" | "other" | "spoiled";

/** Told of the answer to one request. */
export interface AnswerListener {
  /** Judges the head of an answer. */
  onHead(head: AnswerHead): Belonging;
  /** Part of the body of the own answer. */
  onBody(bytes: Buffer): void;
  /** The own answer is whole. */
  onWhole(): void;
  /** No whole answer will come. */
  onFailure(code: ResultCode, message: string): void;
}

/** A request in the form that is sent. */
export interface OutgoingRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** An open connection. */
export class UpstreamConnection {
  readonly #socket: Socket;
  readonly #parser: AnswerParser;
  #listener: AnswerListener | undefined;
  #isOwnAnswer = false;
  #passedOver = 0;
  #isFlushed = true;
  #isSound = true;
  #isHead = false;
  /** Called once, when the connection can serve no more. */
  onClosed: () => void = () => undefined;
  /** Called when the connection rests after a whole answer. */
  onIdle: () => void = () => undefined;
  /** Rest that the upstream allows, ms; undefined if it does not say. */
  restMilliseconds: number | undefined;

  private constructor(socket: Socket) {
    this.#socket = socket;
    this.#parser = new AnswerParser({
      onHead: (head) => this.#takeHead(head),
      onBody: (bytes) => {
        if (this.#isOwnAnswer) this.#listener?.onBody(bytes);
      },
      onWhole: (mayReuse) => this.#takeWhole(mayReuse),
    });
    socket.on("data", (bytes: Buffer) => this.#read(bytes));
    socket.on("end", () => this.#readEnd());
    socket.on("error", (error) => this.#break(error.message));
    socket.on("close", () => this.#break("The connection closed"));
  }

  /** Connects to an upstream. */
  static open(
    address: string,
    limitMilliseconds: number,
  ): Promise<Outcome<UpstreamConnection>> {
    return new Promise((resolve) => {
      const socket = connect({ ...parseAddress(address), noDelay: true });
      const timer = setTimeout(
        () => refuse("No connection in time"),
        limitMilliseconds,
      );
      const refuse = (message: string) => {
        clearTimeout(timer);
        socket.destroy();
        resolve(fail(RESULT_CODES.NOT_CONNECTED, message));
      };
      const onError = (error: Error) => refuse(error.message);
      socket.once("error", onError);
      socket.once("connect", () => {
        clearTimeout(timer);
        socket.off("error", onError);
        resolve(Ok(new UpstreamConnection(socket)));
      });
    });
  }

  /** False once the connection can serve no more. */
  get isSound(): boolean {
    return this.#isSound;
  }

  /** Sends a request; the listener is told of its answer. */
  send(request: OutgoingRequest, listener: AnswerListener): void {
    this.#listener = listener;
    this.#isFlushed = false;
    this.#isHead = request.method === "HEAD";
    const head = writeHead(request);
    this.#socket.write(Buffer.concat([head, request.body]), () => {
      this.#isFlushed = true;
    });
  }

  /** Stops reading until {@linkcode resume}: the caller is slower. */
  pause(): void {
    this.#socket.pause();
  }

  /** Reads on. */
  resume(): void {
    this.#socket.resume();
  }

  /** Closes at once; whoever waits for an answer is not told. */
  destroy(): void {
    this.#listener = undefined;
    this.#break("Closed here");
  }

  #takeHead(head: AnswerHead): boolean {
    const listener = this.#listener;
    if (listener === undefined) {
      this.#break("Bytes came that nobody waits for");
      return true;
    }
    const belonging = listener.onHead(head);
    this.#isOwnAnswer = belonging === "own";
    if (belonging === "spoiled") this.#break("The answer is spoiled");
    if (belonging === "other" && ++this.#passedOver > MAX_PASSED_OVER) {
      this.#break("Too many answers of other requests");
    }
    return this.#isHead;
  }

  #takeWhole(mayReuse: boolean): void {
    if (!this.#isOwnAnswer) return;
    this.#isOwnAnswer = false;
    const listener = this.#listener;
    this.#listener = undefined;
    // An upstream that answers before it has read the body reads the rest
    // where the next request would begin.
    const isClean = mayReuse && this.#isFlushed && this.#passedOver === 0 &&
      this.#isSound;
    if (!isClean) this.#close();
    listener?.onWhole();
    if (isClean) this.onIdle();
  }

  #read(bytes: Buffer): void {
    if (this.#listener === undefined && !this.#parser.isInAnswer) {
      return this.#break("Bytes came that nobody waits for");
    }
    const failure = this.#parser.push(bytes);
    if (failure !== undefined) this.#break(failure);
  }

  #readEnd(): void {
    if (this.#parser.end()) return this.#close();
    this.#break("The upstream closed the connection");
  }

  #close(): void {
    if (!this.#isSound) return;
    this.#isSound = false;
    this.#socket.destroy();
    this.onClosed();
  }

  #break(message: string): void {
    const listener = this.#listener;
    this.#listener = undefined;
    this.#isOwnAnswer = false;
    this.#close();
    listener?.onFailure(RESULT_CODES.ANSWER_SPOILED, message);
  }
}

function writeHead(request: OutgoingRequest): Buffer {
  const { method, target, headers, body } = request;
  const lines = [`${method} ${target} HTTP/1.1`];
  for (let index = 0; index < headers.length; index += 2) {
    lines.push(`${headers[index]}: ${headers[index + 1]}`);
  }
  const hasBody = body.length > 0 || (method !== "GET" && method !== "HEAD");
  if (hasBody) lines.push(`Content-Length: ${body.length}`);
  return Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1");
}

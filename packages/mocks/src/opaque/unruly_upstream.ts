/**
 * A fake upstream for the native dialect that follows a script for each call: it
 * repeats answers, delays, swaps and cuts them, and sends bytes without end.
 */

import { Buffer } from "node:buffer";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { CUT_HEADS, type CutHeadKind } from "./cut_heads.ts";
import { ENDLESS_ANSWERS, type EndlessKind } from "./endless_answers.ts";

const HEAD_END = "\r\n\r\n";
/** Longest wait for another answer to swap with, ms. */
const SWAP_MILLISECONDS = 30;

/** What an upstream does with one request of a call. */
export interface UnrulyStep {
  /** Refuses the request, runs it, or runs it and answers with an error. */
  readonly reply: "refuse" | "run" | "fail";
  /** Earlier answers to the call that are sent first, on this connection. */
  readonly repeats: "none" | "same_connection" | "any_connection";
  /** Time from the request to its answer, ms. */
  readonly delayMilliseconds: number;
  /** What happens to the answer. */
  readonly fault: "none" | "twice" | "swap" | "cut" | "reset" | "endless";
  /** What is sent if the fault is "endless". */
  readonly endless: EndlessKind;
  /** True to send an answer without a body that its connection ends. */
  readonly isUnframed?: boolean;
  /** An answer that is sent in place of the own one; its connection ends then. */
  readonly head?: CutHeadKind;
  /** True to end that connection with a reset. */
  readonly resets?: boolean;
  /** True to leave that connection open. */
  readonly staysOpen?: boolean;
  /** Time from the answer to bytes behind it that are no answer, ms; none by default. */
  readonly surplusMilliseconds?: number;
  /** Type of that answer; text/plain by default. */
  readonly type?: string;
}

/** A step without a fault. */
export const RUN_STEP: UnrulyStep = {
  reply: "run",
  repeats: "none",
  delayMilliseconds: 0,
  fault: "none",
  endless: "garbage",
};

/** An answer that was sent to a call. */
interface SentAnswer {
  readonly upstream: string;
  readonly socket: Socket;
  readonly bytes: Buffer;
}

interface HeldAnswer {
  readonly socket: Socket;
  readonly bytes: Buffer;
  isSwapped: boolean;
}

/** Scripts and records that several upstreams share. */
export class UnrulyScript {
  readonly #steps = new Map<string, UnrulyStep[]>();
  readonly #answers = new Map<string, SentAnswer[]>();
  /** Number of runs of each call. */
  readonly runs = new Map<string, number>();
  /** Bytes of all endless answers. */
  endlessBytes = 0;
  /** True if answers have ids of their own. */
  hasAnswerIds = true;
  nextAnswer = 0;

  /** Sets what the upstreams do with the successive requests of a call. */
  plan(callId: string, steps: readonly UnrulyStep[]): void {
    this.#steps.set(callId, [...steps]);
  }

  /** Takes the next step of a call; a call without any runs. */
  takeStep(callId: string): UnrulyStep {
    return this.#steps.get(callId)?.shift() ?? RUN_STEP;
  }

  /** Records an answer that was sent to a call. */
  recordAnswer(callId: string, answer: SentAnswer): void {
    const answers = this.#answers.get(callId) ?? [];
    answers.push(answer);
    this.#answers.set(callId, answers);
  }

  /** Answers that an upstream has sent to a call. */
  listAnswers(callId: string, upstream: string): readonly SentAnswer[] {
    const answers = this.#answers.get(callId) ?? [];
    return answers.filter((answer) => answer.upstream === upstream);
  }

  /** Records that a call runs. */
  recordRun(callId: string): void {
    this.runs.set(callId, (this.runs.get(callId) ?? 0) + 1);
  }
}

/** A fake upstream; see {@linkcode UnrulyScript}. */
export class UnrulyUpstream {
  readonly id: string;
  readonly #script: UnrulyScript;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #held: HeldAnswer | undefined;
  #port = 0;

  constructor(id: string, script: UnrulyScript) {
    this.id = id;
    this.#script = script;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Address in the form `host:port`. */
  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Open connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** Starts the server. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Stops and closes all connections. */
  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    let pending = Buffer.alloc(0);
    let isBusy = false;
    socket.setNoDelay(true);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#sockets.delete(socket));
    const serveNext = async () => {
      const request = isBusy ? undefined : readRequest(pending);
      if (request === undefined) return;
      pending = pending.subarray(request.length);
      isBusy = true;
      await this.#serve(socket, request.callId);
      isBusy = false;
      void serveNext();
    };
    socket.on("data", (bytes) => {
      pending = Buffer.concat([pending, bytes]);
      void serveNext();
    });
  }

  async #serve(socket: Socket, callId: string): Promise<void> {
    const step = this.#script.takeStep(callId);
    this.#repeatAnswers(socket, callId, step);
    if (step.reply !== "refuse") this.#script.recordRun(callId);
    if (step.delayMilliseconds > 0) await sleep(step.delayMilliseconds);
    const bytes = this.#formatAnswer(callId, step);
    this.#script.recordAnswer(callId, { upstream: this.id, socket, bytes });
    if (step.head !== undefined) {
      return this.#sendCutHead(socket, callId, step);
    }
    if (step.fault === "endless") {
      return this.#sendEndless(socket, callId, step);
    }
    if (step.fault === "swap") return await this.#swap(socket, bytes);
    if (step.fault === "cut") return void socket.end(bytes.subarray(0, -2));
    if (step.fault === "reset") {
      socket.write(bytes.subarray(0, -2));
      await sleep(1);
      return void socket.resetAndDestroy();
    }
    socket.write(bytes);
    if (step.surplusMilliseconds !== undefined) {
      setTimeout(() => socket.write("surplus\n"), step.surplusMilliseconds);
    }
    if (step.fault === "twice") socket.write(bytes);
    if (step.isUnframed === true) socket.end();
  }

  #repeatAnswers(socket: Socket, callId: string, step: UnrulyStep): void {
    if (step.repeats === "none") return;
    for (const sent of this.#script.listAnswers(callId, this.id)) {
      const isHere = sent.socket === socket;
      if (isHere || step.repeats === "any_connection") socket.write(sent.bytes);
    }
  }

  #formatAnswer(callId: string, step: UnrulyStep): Buffer {
    const { reply } = step;
    const body = reply === "run" ? `ran ${callId}` : reply;
    const status = reply === "run" ? 200 : reply === "refuse" ? 503 : 500;
    const answerId = `${this.id}-${this.#script.nextAnswer++}`;
    const head = [
      `HTTP/1.1 ${status} X`,
      `x-call-id: ${callId}`,
      "Keep-Alive: timeout=60",
      ...(this.#script.hasAnswerIds ? [`x-answer-id: ${answerId}`] : []),
      ...(reply === "refuse" ? ["x-not-run: 1"] : []),
      ...(step.isUnframed === true ? [] : [`Content-Length: ${body.length}`]),
    ];
    return Buffer.from(`${head.join("\r\n")}${HEAD_END}${body}`);
  }

  /** Exchanges the answers of two connections that wait at the same time. */
  async #swap(socket: Socket, bytes: Buffer): Promise<void> {
    const other = this.#held;
    if (other !== undefined && other.socket !== socket) {
      this.#held = undefined;
      other.isSwapped = true;
      other.socket.write(bytes);
      socket.write(other.bytes);
      return;
    }
    const held = { socket, bytes, isSwapped: false };
    this.#held = held;
    await sleep(SWAP_MILLISECONDS);
    if (held.isSwapped) return;
    if (this.#held === held) this.#held = undefined;
    socket.write(bytes);
  }

  /** Sends an answer whose head has lost bytes, and mostly ends the connection. */
  #sendCutHead(socket: Socket, callId: string, step: UnrulyStep): void {
    if (step.head === undefined) return;
    const { type = "text/plain", head, resets = false } = step;
    const text = CUT_HEADS[head].write(callId, `Content-Type: ${type}`);
    if (step.staysOpen === true) return void socket.write(text);
    if (!resets) return void socket.end(text);
    if (text !== "") socket.write(text);
    socket.resetAndDestroy();
  }

  /** Sends bytes until the caller closes the connection. */
  #sendEndless(socket: Socket, callId: string, step: UnrulyStep): void {
    const { start, repeat } = ENDLESS_ANSWERS[step.endless];
    const own = this.#formatAnswer(callId, step).toString();
    const part = Buffer.from(repeat(callId, own));
    const sendMore = () => {
      while (!socket.destroyed && socket.write(part)) {
        this.#script.endlessBytes += part.length;
      }
    };
    socket.on("drain", sendMore);
    socket.write(start(callId, own));
    sendMore();
  }
}

/** Reads a request; undefined if it has not arrived completely. */
function readRequest(
  bytes: Buffer,
): { readonly callId: string; readonly length: number } | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const head = bytes.subarray(0, headEnd).toString();
  const bodyLength = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
  const length = headEnd + HEAD_END.length + bodyLength;
  if (bytes.length < length) return undefined;
  return { callId: /x-call-id: (\S+)/i.exec(head)?.[1] ?? "", length };
}

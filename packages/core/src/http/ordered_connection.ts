/** The requests of one connection, which run one after another. */

import type { Socket } from "node:net";
import type { OrderedResponse } from "./ordered_response.ts";

/**
 * Waiting requests of a connection from which on it is not read. Up to that number,
 * a caller that disconnects is noticed, unless a waiting request has a body that
 * does not fit the buffer of its stream.
 */
export const MAX_WAITING_REQUESTS = 16;

/** Longest time for which bodies behind an answer that ends its connection are read, ms. */
const DRAIN_MILLISECONDS = 5_000;

/** Why requests were not run. */
export const LEFT_BEHIND_REASONS = {
  /** The answer before them had to end the connection. */
  ANSWER: "answer",
  /** The connection closed before the answer before them was complete. */
  CONNECTION: "connection",
} as const;

/** One of {@linkcode LEFT_BEHIND_REASONS}. */
export type LeftBehindReason =
  typeof LEFT_BEHIND_REASONS[keyof typeof LEFT_BEHIND_REASONS];

/** What a connection needs from its server. */
export interface ConnectionOwner {
  /** True if connections end after the answers of what was read on them. */
  readonly isEnding: boolean;
  /** Called when a request was read; returns the number of open requests. */
  handleRead(): number;
  /** Called when a request was answered, or its connection has closed. */
  handleEnd(): void;
  /** Called when requests were read that will not be run. */
  handleLeftBehind(requests: number, reason: LeftBehindReason): void;
}

interface WaitingRequest {
  readonly response: OrderedResponse;
  readonly run: () => void;
}

/**
 * Runs each request when the answer before it has been sent and the connection goes
 * on. Node itself only orders the answers and runs all requests as it reads them.
 *
 * @example
 * ```ts
 * const connection = new OrderedConnection(request.socket, owner);
 * connection.add(response, () => serve(request, response));
 * ```
 */
export class OrderedConnection {
  readonly #socket: Socket;
  readonly #owner: ConnectionOwner;
  readonly #waiting: WaitingRequest[] = [];
  #running: OrderedResponse | undefined;
  #isPaused = false;
  #isUnreadable = false;
  /** True once an answer has begun that ends the connection. */
  #isClosing = false;

  constructor(socket: Socket, owner: ConnectionOwner) {
    this.#socket = socket;
    this.#owner = owner;
    socket.once(
      "close",
      () => this.#leaveWaiting(LEFT_BEHIND_REASONS.CONNECTION),
    );
    // Node resumes the connection after each message that it has read.
    socket.on("resume", () => this.#updateReading());
  }

  /** True if an answer was written whole and is not sent yet. */
  get hasUnsentAnswer(): boolean {
    return this.#running?.writableEnded === true;
  }

  /** Runs a request in its turn. */
  add(response: OrderedResponse, run: () => void): void {
    response.openRequests = this.#owner.handleRead();
    this.#waiting.push({ response, run });
    if (this.#isClosing) response.req.resume();
    response.follow({
      // The answer before this one closes in this tick.
      onTurn: () => process.nextTick(() => this.#run(response)),
      onHead: () => this.#prepareHead(response),
      onEnd: () => this.#isClosing ? this.#drainWaiting() : undefined,
    });
    if (response.socket === null) this.#updateReading();
    else this.#run(response);
  }

  /**
   * Handles bytes that are no request, or a request that takes too long to arrive.
   * Returns false if no request is open, so that the error may be answered.
   */
  handleError(code: string | undefined): boolean {
    const isOpen = this.#running !== undefined || this.#waiting.length > 0;
    if (!isOpen || this.#socket.destroyed) return false;
    // An answer to the error would be taken for that of the open request.
    if (code === "ERR_HTTP_REQUEST_TIMEOUT") return true;
    if (code === "HPE_INVALID_EOF_STATE") this.#socket.destroy();
    this.#isUnreadable = true;
    return true;
  }

  #run(response: OrderedResponse): void {
    if (this.#waiting[0]?.response !== response) return;
    if (!this.#socket.writable) {
      return this.#leaveWaiting(LEFT_BEHIND_REASONS.CONNECTION);
    }
    const [next] = this.#waiting.splice(0, 1);
    this.#running = response;
    response.once("close", () => this.#handleClose(response));
    this.#updateReading();
    next?.run();
  }

  #handleClose(response: OrderedResponse): void {
    this.#running = undefined;
    this.#owner.handleEnd();
    if (response.writableFinished && this.#socket.writableEnded) {
      return this.#leaveWaiting(LEFT_BEHIND_REASONS.ANSWER);
    }
    if (this.#isUnreadable && this.#waiting.length === 0) {
      this.#socket.destroySoon();
    }
  }

  #prepareHead(response: OrderedResponse): void {
    const isLast = this.#owner.isEnding || this.#isUnreadable;
    if (isLast && this.#waiting.length === 0) response.shouldKeepAlive = false;
    this.#isClosing = !response.shouldKeepAlive ||
      response.getHeader("connection") === "close";
    if (!this.#isClosing) return;
    for (const waiting of this.#waiting) waiting.response.req.resume();
  }

  /**
   * Resolves when the bodies of the waiting requests were read and discarded, or
   * after a time. A connection that is closed with unread bytes is reset, and the
   * caller would lose the rest of the answer before them.
   */
  #drainWaiting(): Promise<void> | undefined {
    const bodies = this.#waiting.map(({ response }) => response.req)
      .filter((request) => !request.complete && !request.destroyed);
    if (bodies.length === 0) return undefined;
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, DRAIN_MILLISECONDS);
      const last = bodies.at(-1);
      const end = () => {
        clearTimeout(timer);
        resolve();
      };
      last?.once("end", end).once("close", end);
    });
  }

  #updateReading(): void {
    const isFull = this.#waiting.length >= MAX_WAITING_REQUESTS;
    if (isFull) {
      this.#isPaused = true;
      this.#socket.pause();
    } else if (this.#isPaused) {
      this.#isPaused = false;
      this.#socket.resume();
    }
  }

  #leaveWaiting(reason: LeftBehindReason): void {
    const left = this.#waiting.splice(0).length;
    if (left === 0) return;
    for (let number = 0; number < left; number++) this.#owner.handleEnd();
    this.#owner.handleLeftBehind(left, reason);
  }
}

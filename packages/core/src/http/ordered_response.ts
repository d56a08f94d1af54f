/** An answer that knows when its turn on the connection has come. */

import { type OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";

/** What is called as an {@linkcode OrderedResponse} advances. */
export interface ResponseSteps {
  /** All answers before this one have been sent. */
  readonly onTurn: () => void;
  /** The head is about to be written. */
  readonly onHead: () => void;
  /**
   * The answer is about to end. Returns when it may, or undefined if it may at once.
   */
  readonly onEnd: () => Promise<void> | undefined;
}

/** Answer of an `OrderedServer`. */
export class OrderedResponse extends ServerResponse {
  /** When the head of the request was read, by the local clock, ms. */
  readonly arrivedAt = performance.now();
  /** Open requests of the server when this one was read, with it. */
  openRequests = 0;
  #steps: ResponseSteps | undefined;

  /** Sets what is called as the answer advances. */
  follow(steps: ResponseSteps): void {
    this.#steps = steps;
  }

  override assignSocket(socket: Socket): void {
    super.assignSocket(socket);
    this.#steps?.onTurn();
  }

  override end(...values: readonly unknown[]): this {
    const mayEnd = this.headersSent ? this.#steps?.onEnd() : undefined;
    if (mayEnd === undefined) return super.end(...values as []);
    const [bytes] = values;
    if (bytes instanceof Uint8Array || typeof bytes === "string") {
      this.write(bytes);
    }
    void mayEnd.then(() => super.end());
    return this;
  }

  override writeHead(status: number, ...rest: readonly unknown[]): this {
    if (!this.headersSent) this.#steps?.onHead();
    return super.writeHead(status, ...rest as [OutgoingHttpHeaders?]);
  }
}

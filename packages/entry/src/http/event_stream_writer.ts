/** Writes server-sent events directly to a caller's connection. */

import type { ServerResponse } from "node:http";
import type { UnreadStreams } from "./unread_streams.ts";

const HTTP_OK = 200;

/**
 * Writes events to the Node.js response and bypasses the HTTP library, whose
 * stream layers took more time per token than everything else together.
 */
export class EventStreamWriter {
  readonly #response: ServerResponse;
  readonly #unread: UnreadStreams;
  #isOpen = false;
  /** True once all further events are known, so that they are the last ones. */
  isEnding = false;

  constructor(response: ServerResponse, unread: UnreadStreams) {
    this.#response = response;
    this.#unread = unread;
    unread.add(response);
  }

  /** True once the status and the first event have been written. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Writes one event, preceded by the response header if it is the first. */
  writeEvent(data: string): void {
    if (!this.#isOpen) {
      this.#isOpen = true;
      this.#response.writeHead(HTTP_OK, {
        "content-type": "text/event-stream",
        "cache-control": "no-cache",
      });
    }
    this.#unread.checkBeforeWrite(this.#response, this.isEnding);
    if (this.#response.destroyed) return;
    this.#response.write(`data: ${data}\n\n`);
  }

  /**
   * Closes the connection after the events written so far, without the last
   * chunk, so that the stream does not look complete.
   */
  breakOff(): void {
    this.#response.socket?.destroySoon();
  }

  /** Ends the stream. */
  end(): void {
    this.#response.end();
  }
}

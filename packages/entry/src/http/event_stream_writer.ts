/** Writes server-sent events directly to a caller's connection. */

import type { ServerResponse } from "node:http";

const HTTP_OK = 200;

/**
 * Writes events to the Node.js response and bypasses the HTTP library, whose
 * stream layers took more time per token than everything else together.
 */
export class EventStreamWriter {
  readonly #response: ServerResponse;
  #isOpen = false;

  constructor(response: ServerResponse) {
    this.#response = response;
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
    this.#response.write(`data: ${data}\n\n`);
  }

  /** Ends the stream. */
  end(): void {
    this.#response.end();
  }
}

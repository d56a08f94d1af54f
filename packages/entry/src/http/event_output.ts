/** Server-sent events, written straight to the caller's connection. */

import type { ServerResponse } from "node:http";

const HTTP_OK = 200;

/**
 * Writes events to a response that the HTTP library no longer handles:
 * its stream layers took more time for each token than all the rest.
 */
export class EventOutput {
  readonly #response: ServerResponse;
  #open = false;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** True once an event was written, and with it the status. */
  get isOpen(): boolean {
    return this.#open;
  }

  /** Writes one event. */
  writeText(data: string): void {
    if (!this.#open) {
      this.#open = true;
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

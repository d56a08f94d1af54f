/** Bounds the bytes of streams that callers have not read yet. */

import type { ServerResponse } from "node:http";
import type { Logger, Metrics } from "@mallowlift/core";

/** Unread bytes of a stream below which the sum is not computed. */
const CHECKED_BYTES = 65_536;

/** Options of {@linkcode UnreadStreams}. */
export interface UnreadStreamsOptions {
  readonly callBytes: number;
  readonly totalBytes: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Disconnects callers that read too slowly: each with more unread bytes than the
 * limit of one stream, and the slowest while all exceed their common limit. Their
 * calls go on, and the same request id returns the answer.
 */
export class UnreadStreams {
  readonly #options: UnreadStreamsOptions;
  readonly #responses = new Set<ServerResponse>();

  constructor(options: UnreadStreamsOptions) {
    this.#options = options;
  }

  /** Adds a stream until its response closes. */
  add(response: ServerResponse): void {
    this.#responses.add(response);
    response.once("close", () => this.#responses.delete(response));
  }

  /**
   * Checks the limits before an event is written to a stream. The last events
   * follow each other at once, so only the common limit holds for them.
   */
  checkBeforeWrite(response: ServerResponse, isEnding: boolean): void {
    if (response.writableLength < CHECKED_BYTES) return;
    if (!isEnding && response.writableLength > this.#options.callBytes) {
      this.#disconnect(response, "call");
    }
    let total = 0;
    let slowest = response;
    for (const known of this.#responses) {
      if (known.destroyed) continue;
      total += known.writableLength;
      if (known.writableLength > slowest.writableLength) slowest = known;
    }
    if (total > this.#options.totalBytes) this.#disconnect(slowest, "total");
  }

  #disconnect(response: ServerResponse, reason: string): void {
    if (response.destroyed) return;
    const { logger, metrics } = this.#options;
    metrics.slowCallers.inc({ reason });
    logger.warn("Slow caller disconnected", {
      reason,
      unread_bytes: response.writableLength,
    });
    this.#responses.delete(response);
    response.destroy();
  }
}

/** Measures how the attempts of a turn went, for the leader that placed it. */

import type { PlacementReport } from "@mallowlift/core";

/**
 * Observes the attempts of one turn.
 *
 * @example
 * ```ts
 * const observer = new TurnObserver();
 * observer.recordSent(0);
 * observer.recordEvent(40);
 * observer.recordEvent(80);
 * observer.createReport("engine-1", 16); // first after 40 ms, then 16 tokens in 40 ms
 * ```
 */
export class TurnObserver {
  readonly #failedUpstreams: string[] = [];
  #sentAt = -1;
  #firstAt = -1;
  #lastAt = -1;
  #events = 0;

  /** Records the start of an attempt. */
  recordSent(now: number): void {
    this.#sentAt = now;
    this.#firstAt = -1;
    this.#lastAt = -1;
    this.#events = 0;
  }

  /** Records the arrival of an event. */
  recordEvent(now: number): void {
    if (this.#firstAt < 0) this.#firstAt = now;
    this.#lastAt = now;
    this.#events++;
  }

  /** Records an attempt that gave no usable answer. */
  recordFailure(upstream: string): void {
    this.#failedUpstreams.push(upstream);
  }

  /**
   * Describes the attempts; times are those of the last one. Undefined if they tell
   * nothing about an upstream, as when the caller left.
   *
   * @param upstream the upstream that ran the turn; empty if none did
   */
  createReport(
    upstream: string,
    tokensPerEvent: number,
  ): PlacementReport | undefined {
    if (upstream === "" && this.#failedUpstreams.length === 0) return undefined;
    const hasEvent = this.#firstAt >= 0;
    return {
      failedUpstreams: this.#failedUpstreams,
      firstMilliseconds: hasEvent ? this.#firstAt - this.#sentAt : -1,
      streamMilliseconds: hasEvent ? this.#lastAt - this.#firstAt : 0,
      streamTokens: Math.max(0, this.#events - 1) * tokensPerEvent,
    };
  }
}

/** Limits how many gateways are sent the full instance list at the same time. */

/** A list of 3,000 instances takes about 100 kB, so all sends take a few megabytes. */
const MAX_IN_FLIGHT = 24;
/** Time after which a send no longer counts if the gateway sends no further request, ms. */
const IN_FLIGHT_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Bounds the memory of send buffers when all gateways need the full list, for
 * example after a change of leaders. The next request of a gateway shows that
 * the gateway has received the list.
 *
 * @example
 * ```ts
 * const limiter = new FullListLimiter();
 * limiter.release("gateway-1");
 * if (limiter.tryAcquire("gateway-1", now)) sendFullList();
 * ```
 */
export class FullListLimiter {
  /** When the list was sent, by gateway, for the sends in flight. */
  readonly #sentAt = new Map<string, number>();

  /** Ends the send to a gateway, which has received the list. */
  release(daemon: string): void {
    this.#sentAt.delete(daemon);
  }

  /** Starts a send to a gateway; returns false if too many are in flight. */
  tryAcquire(daemon: string, now: number): boolean {
    for (const [name, sentAt] of this.#sentAt) {
      if (now - sentAt < IN_FLIGHT_TIMEOUT_MILLISECONDS) break;
      this.#sentAt.delete(name);
    }
    if (this.#sentAt.size >= MAX_IN_FLIGHT) return false;
    this.#sentAt.set(daemon, now);
    return true;
  }
}

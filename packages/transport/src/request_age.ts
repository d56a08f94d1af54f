/** Estimates how long a request was under way to a process whose clock differs from its sender's. */

import { RecentMinimum } from "@mallowlift/core";

/**
 * Window over which the smallest clock difference is kept, ms. Monotonic clocks
 * that drift by 100 ppm differ by 6 ms more after one window.
 */
const WINDOW_MILLISECONDS = 60_000;

/**
 * Estimates the age of the requests of one connection. The difference between the
 * receiver's clock when it reads a request and the sender's clock when it sent it
 * is smallest for a request that waited nowhere; what another one exceeds this by
 * is the time that it spent in buffers and before a busy event loop.
 *
 * @example
 * ```ts
 * const ages = new RequestAgeEstimator();
 * ages.estimate({ sentAt: 1_000, readAt: 7_002 }); // 0
 * ages.estimate({ sentAt: 1_100, readAt: 7_402 }); // 300
 * ```
 */
export class RequestAgeEstimator {
  readonly #smallest = new RecentMinimum(WINDOW_MILLISECONDS);

  /**
   * Returns the time since the request was sent, beyond that of the fastest
   * request of this connection, ms.
   *
   * @param request `sentAt` by the sender's monotonic clock and `readAt` by the
   * receiver's, ms
   */
  estimate(
    request: { readonly sentAt: number; readonly readAt: number },
  ): number {
    const { sentAt, readAt } = request;
    const difference = readAt - sentAt;
    this.#smallest.record(difference, readAt);
    return difference - this.#smallest.value;
  }
}

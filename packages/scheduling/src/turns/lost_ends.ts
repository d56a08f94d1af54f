/**
 * Releases open turns whose ends were probably lost, so that they need not fill
 * their upstreams until their deadlines.
 */

import type { OpenTurn, OpenTurns } from "./open_turns.ts";
import type { ServiceState } from "./service_state.ts";

/**
 * Multiple of the time of usual turns from which an open turn is old enough that
 * its end may be lost.
 */
const OLD_FACTOR = 2;

/**
 * Releases turns that cannot all be running when a turn ends, because more than
 * the upstream's slots were placed before it: upstreams start turns roughly in
 * the order of their arrival.
 */
export function releaseSurplus(
  openTurns: OpenTurns,
  details: {
    /** The turn that ends, while it still counts as open. */
    readonly ended: OpenTurn;
    /** Mean time from the placement of a turn to its end, ms. */
    readonly turnMilliseconds: number;
    readonly now: number;
  },
): void {
  const { ended, turnMilliseconds, now } = details;
  const usualMilliseconds = Math.max(now - ended.placedAt, turnMilliseconds);
  const oldBefore = now - OLD_FACTOR * usualMilliseconds;
  let earlierCount = 0;
  let earlier = ended.previous;
  while (earlier !== undefined) {
    const { previous } = earlier;
    earlierCount++;
    if (earlierCount > ended.upstream.slots && earlier.placedAt < oldBefore) {
      openTurns.remove(earlier, now);
    }
    earlier = previous;
  }
}

/**
 * Releases the turns of a service that have been open for much longer than any
 * recent turn. An upstream that has ended no other turn meanwhile has failed
 * them.
 */
export function releaseOverdue(
  openTurns: OpenTurns,
  details: { readonly service: ServiceState; readonly now: number },
): void {
  const { service, now } = details;
  const { lostMilliseconds } = service;
  const reportedSince = service.findReportedSince(now);
  for (const upstream of service.upstreams) {
    let { oldest } = upstream;
    while (oldest !== undefined) {
      const { placedAt, expectedMilliseconds } = oldest;
      const lostAfter = Math.max(
        lostMilliseconds,
        OLD_FACTOR * expectedMilliseconds,
      );
      if (now < placedAt + lostAfter) break;
      const isHanging = upstream.findLateness(reportedSince, now) > 0;
      openTurns.remove(oldest, now);
      if (isHanging) upstream.failures.recordFailure(now);
      oldest = upstream.oldest;
    }
  }
}

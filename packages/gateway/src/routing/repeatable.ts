/** Decides which routes may be retried after an upstream may have run a call. */

import { type Route, ROUTE_KINDS } from "@mallowlift/core";

/** True if a call of the route may run more than once. */
export function isRepeatable(route: Route): boolean {
  return route.kind === ROUTE_KINDS.IDEMPOTENT || isResumable(route);
}

/** True if a stream of the route may resume at another upstream. */
export function isResumable(route: Route): boolean {
  return route.kind === ROUTE_KINDS.STREAM && route.isResumable === true;
}

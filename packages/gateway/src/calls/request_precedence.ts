/** Tells the stores which requests matter most. */

import type { RequestPrecedence } from "@mallowlift/core";
import type { OpenCall } from "./open_call.ts";
import { findTurnPriority } from "./turn_placement_requests.ts";

/**
 * Returns the precedence of a call's requests at the stores.
 *
 * @example
 * ```ts
 * findPrecedence(call, performance.now()); // { priority: 0, isLate: false }
 * ```
 */
export function findPrecedence(
  call: Pick<OpenCall, "parts">,
  now: number,
): RequestPrecedence {
  const { arrivedAt, facts, route, workspace } = call.parts;
  return {
    priority: findTurnPriority(route, workspace),
    isLate: now >= arrivedAt + facts.finishMilliseconds,
  };
}

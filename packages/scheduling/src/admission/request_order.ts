/** Orders the requests that wait for a busy process. */

import type { RequestPrecedence } from "@mallowlift/core";

/** What a request does for its program. */
export const REQUEST_STAGES = {
  FINISH: "finish",
  CONTINUE: "continue",
  START: "start",
} as const;

/** One of {@linkcode REQUEST_STAGES}. */
export type RequestStage = typeof REQUEST_STAGES[keyof typeof REQUEST_STAGES];

/** Orders of one precedence: what ends work, started programs, new programs. */
const STAGE_ORDERS: Readonly<Record<RequestStage, number>> = {
  finish: 0,
  continue: 1,
  start: 2,
};
const STAGE_COUNT = Object.keys(STAGE_ORDERS).length;
/** Priorities that are told apart; larger ones count as the largest. */
const MAX_PRIORITY = 999;

/**
 * Returns the order of a request, of which the smallest starts first: programs that can
 * still end in time, by priority, of which 0 is the most urgent, and in each priority
 * ends of turns, then started programs, then new ones. An urgent program would
 * otherwise wait behind the many turns of lesser ones. The end of a late turn keeps the
 * order of its priority: its answer is ready, and would be lost at its deadline.
 *
 * @example
 * ```ts
 * const urgent = { priority: 0, isLate: false };
 * const lesser = { priority: 1, isLate: false };
 * findRequestOrder(REQUEST_STAGES.START, urgent); // 2
 * findRequestOrder(REQUEST_STAGES.FINISH, lesser); // 3
 * ```
 */
export function findRequestOrder(
  stage: RequestStage,
  { priority, isLate }: RequestPrecedence,
): number {
  const rank = Math.min(priority, MAX_PRIORITY) +
    (isLate && stage !== REQUEST_STAGES.FINISH ? MAX_PRIORITY + 1 : 0);
  return rank * STAGE_COUNT + STAGE_ORDERS[stage];
}

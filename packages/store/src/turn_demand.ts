/** Completes a gateway's placement demand by what the leader knows of the turn. */

import type { BeginTurn, PlacementDemand } from "@mallowlift/core";
import type { TurnDemand } from "@mallowlift/scheduling";
import type { RequestContext } from "./request_context.ts";

/**
 * Creates the demand of a turn.
 *
 * @example
 * ```ts
 * createDemand(request, request.demand, { historyUpstream: "", isStarted: false, caller, now });
 * ```
 */
export function createDemand(
  request: BeginTurn,
  demand: PlacementDemand,
  details: {
    /** Upstream that processed the turn's history; empty if there is none. */
    readonly historyUpstream: string;
    /** True if the program has run a turn before. */
    readonly isStarted: boolean;
    readonly caller: RequestContext;
    readonly now: number;
  },
): TurnDemand {
  const { historyUpstream, isStarted, caller, now } = details;
  const sentAt = now - caller.ageMilliseconds;
  return {
    turnId: request.turnId,
    service: demand.service,
    workspace: request.quota?.workspace ?? "",
    weight: request.quota?.most ?? 1,
    priority: demand.priority,
    isStarted,
    finishMilliseconds: demand.finishMilliseconds ?? Infinity,
    promptTokens: demand.promptTokens,
    historyTokens: demand.historyTokens,
    historyUpstream,
    gateway: demand.gateway,
    failureDomain: demand.failureDomain,
    deadlineAt: sentAt + demand.leftMilliseconds,
  };
}

/** Decides which turns the leader places, and describes them to it. */

import type { PlacementDemand, Route, Workspace } from "@mallowlift/core";
import type { UpstreamTable } from "../upstreams/upstream_table.ts";
import type { OpenCall } from "./open_call.ts";

/**
 * Slots of each upstream for each gateway from which gateways place turns themselves:
 * their own requests tell enough about the load there.
 */
const MIN_OWN_SLOTS = 0.5;
/** Priorities of routes that are told apart within a priority of workspaces. */
const ROUTE_PRIORITIES = 10;

/** Options of {@linkcode TurnPlacementRequests}. */
export interface TurnPlacementRequestsOptions {
  /** True if the leader may place turns. */
  readonly isEnabled: boolean;
  readonly gateway: string;
  readonly failureDomain: string;
  readonly upstreams: Pick<UpstreamTable, "findMeanSlots">;
  readonly countGateways: () => number;
}

/**
 * Asks the leader to place the turns of services whose upstreams have less than half a
 * slot for each gateway: there its own requests tell a gateway nothing about their load.
 */
export class TurnPlacementRequests {
  readonly #options: TurnPlacementRequestsOptions;

  constructor(options: TurnPlacementRequestsOptions) {
    this.#options = options;
  }

  /** Describes a turn to the leader; undefined if the gateway places it itself. */
  findDemand(
    call: OpenCall,
    leftMilliseconds: number,
  ): PlacementDemand | undefined {
    const { isEnabled, gateway, failureDomain, upstreams, countGateways } =
      this.#options;
    const { facts, route, service, workspace } = call.parts;
    const slots = upstreams.findMeanSlots(service);
    const share = slots / countGateways();
    if (!isEnabled || slots === 0 || share >= MIN_OWN_SLOTS) return undefined;
    let promptTokens = 0;
    for (const { tokens } of facts.promptParts) promptTokens += tokens;
    const isFinishKnown = Number.isFinite(facts.finishMilliseconds);
    return {
      service,
      priority: findTurnPriority(route, workspace),
      ...(isFinishKnown
        ? { finishMilliseconds: facts.finishMilliseconds }
        : {}),
      leftMilliseconds: Math.round(leftMilliseconds),
      promptTokens,
      historyTokens: promptTokens - (facts.promptParts.at(-1)?.tokens ?? 0),
      gateway,
      failureDomain,
    };
  }
}

/**
 * Returns the priority of a turn, 0 for the most urgent: that of its workspace goes
 * before that of its route.
 *
 * @example
 * ```ts
 * findTurnPriority({ priority: 2 }, undefined); // 2
 * findTurnPriority({ priority: 2 }, { priority: 1 }); // 12
 * ```
 */
export function findTurnPriority(
  route: Pick<Route, "priority">,
  workspace: Pick<Workspace, "priority"> | undefined,
): number {
  if (workspace?.priority === undefined) return route.priority;
  const routePriority = Math.min(route.priority, ROUTE_PRIORITIES - 1);
  return workspace.priority * ROUTE_PRIORITIES + routePriority;
}

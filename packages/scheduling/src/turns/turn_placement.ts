/** Interface of the policy that places turns on the upstreams of a service. */

import type { UpstreamInstance } from "@mallowlift/core";
import type { TurnDemand, TurnReport } from "./turn_demand.ts";

/** Slots of a service and the turns that occupy them. */
export interface ServiceRoom {
  /** Slots of all upstreams that take new turns. */
  readonly slots: number;
  /** Turns that were placed and have not ended. */
  readonly open: number;
  /** Mean time from the placement of a turn to its end, ms. */
  readonly meanTurnMilliseconds: number;
  /**
   * Mean time of it from the send to the last event, ms; missing if not known. In the
   * rest, the turn's slot is idle.
   */
  readonly meanUpstreamMilliseconds?: number;
}

/**
 * Chooses upstreams for turns with the turns of all gateways in view, and learns
 * from their ends how fast each upstream is.
 */
export interface TurnPlacement {
  /** Replaces the instance list. */
  update(instances: readonly UpstreamInstance[]): void;
  /** Returns the slots of a service and their use. */
  findRoom(service: string, now: number): ServiceRoom;
  /**
   * Chooses the upstream of a turn and counts the turn as open there; undefined
   * if the service has no usable upstream.
   */
  place(demand: TurnDemand, now: number): string | undefined;
  /**
   * Ends a turn. Ignores turns that were not placed here, except for what they
   * tell about their upstream.
   */
  end(turnId: string, report: TurnReport | undefined, now: number): void;
}

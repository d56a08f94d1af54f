/** Interface of the waiting line of a service. */

import type { TurnDemand } from "./turn_demand.ts";
import type { ServiceRoom } from "./turn_placement.ts";

/** Decision on a turn that asks for a slot. */
export const LINE_DECISIONS = {
  /** It may be placed now. */
  START: "start",
  /** It waits in the line. */
  WAIT: "wait",
  /** It cannot be served in time. */
  REFUSE: "refuse",
} as const;

/** One of {@linkcode LINE_DECISIONS}. */
export type LineDecision = typeof LINE_DECISIONS[keyof typeof LINE_DECISIONS];

/** Orders the turns that wait for a slot of one service. */
export interface TurnLine {
  /** Number of turns that wait. */
  readonly length: number;
  /** Decides on a turn that has just arrived, and lets it wait if so decided. */
  enter(demand: TurnDemand, room: ServiceRoom, now: number): LineDecision;
  /** Removes and returns the turns that may be placed now, most urgent first. */
  takeStarting(room: ServiceRoom, now: number): readonly TurnDemand[];
  /** Removes and returns the turns that can no longer be served in time. */
  takeExpired(room: ServiceRoom, now: number): readonly TurnDemand[];
  /** Removes a turn whose caller has left. */
  leave(turnId: string): void;
  /**
   * Records that a turn that was started by `enter` or `takeStarting` has ended, or was
   * not placed after all; ignores others. A turn whose end is lost ends at its deadline.
   */
  recordEnd(turnId: string, now: number): void;
  /** Returns the time after which a refused turn should be sent again, ms. */
  findRetryAfter(demand: TurnDemand, room: ServiceRoom, now: number): number;
}

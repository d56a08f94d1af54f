/** Baseline: one after the other. */

import {
  hasRoom,
  type PlacementCall,
  type PlacementCandidate,
  type PlacementPolicy,
} from "./placement_policy.ts";

/** Takes the candidates in turn. */
export class RoundRobin implements PlacementPolicy {
  readonly name = "round_robin";
  #next = 0;

  choose(
    _call: PlacementCall,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    const open = candidates.filter(hasRoom);
    if (open.length === 0) return undefined;
    return open[this.#next++ % open.length];
  }
}

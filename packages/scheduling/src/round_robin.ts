/** Baseline placement policy: round robin. */

import {
  hasCapacity,
  type PlacementCall,
  type PlacementCandidate,
  type PlacementPolicy,
} from "./placement_policy.ts";

/** Chooses the candidates with capacity in rotation. */
export class RoundRobin implements PlacementPolicy {
  readonly name = "round_robin";
  #next = 0;

  choose(
    _call: PlacementCall,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    const available = candidates.filter(hasCapacity);
    if (available.length === 0) return undefined;
    return available[this.#next++ % available.length];
  }
}

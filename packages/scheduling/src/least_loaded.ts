/** Baseline placement policy: the lowest load relative to capacity. */

import {
  chooseLowestCost,
  countCalls,
  type PlacementCall,
  type PlacementCandidate,
  type PlacementPolicy,
} from "./placement_policy.ts";

/** Chooses the candidate with the fewest calls per slot. */
export class LeastLoaded implements PlacementPolicy {
  readonly name = "least_loaded";

  choose(
    _call: PlacementCall,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return chooseLowestCost(
      candidates,
      (candidate) => countCalls(candidate) / candidate.slots,
    );
  }
}

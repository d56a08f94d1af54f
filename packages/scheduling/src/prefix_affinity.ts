/** Baseline placement policy: the most cached prompt tokens. */

import {
  chooseLowestCost,
  countCalls,
  type PlacementCall,
  type PlacementCandidate,
  type PlacementPolicy,
} from "./placement_policy.ts";

/**
 * Chooses the candidate with the most cached tokens, and the least utilized one
 * among equals.
 */
export class PrefixAffinity implements PlacementPolicy {
  readonly name = "prefix_affinity";

  choose(
    _call: PlacementCall,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return chooseLowestCost(candidates, (candidate) => {
      const utilization = countCalls(candidate) /
        (candidate.slots + candidate.queueLimit);
      return utilization - candidate.cachedTokens;
    });
  }
}

/** Baseline: the least work for its size. */

import {
  chooseLeast,
  countWork,
  type PlacementCall,
  type PlacementCandidate,
  type PlacementPolicy,
} from "./placement_policy.ts";

/** Takes the candidate with the least work per slot. */
export class LeastLoaded implements PlacementPolicy {
  readonly name = "least_loaded";

  choose(
    _call: PlacementCall,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return chooseLeast(
      candidates,
      (candidate) => countWork(candidate) / candidate.slots,
    );
  }
}

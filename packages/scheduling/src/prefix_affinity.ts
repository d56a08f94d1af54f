/** Baseline: where most of the prompt is cached. */

import {
  chooseLeast,
  countWork,
  type PlacementCall,
  type PlacementCandidate,
  type PlacementPolicy,
} from "./placement_policy.ts";

/** Takes the most cached tokens; among equals the least work. */
export class PrefixAffinity implements PlacementPolicy {
  readonly name = "prefix_affinity";

  choose(
    _call: PlacementCall,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return chooseLeast(candidates, (candidate) => {
      const share = countWork(candidate) /
        (candidate.slots + candidate.queueLimit);
      return share - candidate.cachedTokens;
    });
  }
}

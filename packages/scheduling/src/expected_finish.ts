/** Placement policy that minimizes the expected time to the first token. */

import {
  chooseLowestCost,
  countCalls,
  type PlacementCall,
  type PlacementCandidate,
  type PlacementPolicy,
} from "./placement_policy.ts";

/** Prompt tokens that an engine processes in one step. */
const PREFILL_TOKENS_PER_STEP = 512;

/**
 * Number of steps for which a call ahead in the queue is expected to occupy its
 * slot.
 */
const EXPECTED_STEPS_PER_CALL = 64;

/**
 * Chooses the candidate with the lowest estimated time: the wait for a slot
 * plus the processing of the prompt tokens that are not cached there. The time
 * for uncached tokens is multiplied by 1 + cacheWeight: a weight of 0 counts it
 * as it is, and a higher weight favors candidates with a cached prompt more.
 */
export class ExpectedFinish implements PlacementPolicy {
  readonly name = "expected_finish";
  readonly #cacheWeight: number;

  constructor(cacheWeight: number) {
    this.#cacheWeight = cacheWeight;
  }

  choose(
    call: PlacementCall,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return chooseLowestCost(
      candidates,
      (candidate) => this.estimateMilliseconds(call, candidate),
    );
  }

  /**
   * Returns the weighted estimate of the milliseconds until the call's first
   * token.
   */
  estimateMilliseconds(
    call: PlacementCall,
    candidate: PlacementCandidate,
  ): number {
    const step = candidate.stepMilliseconds;
    const calls = countCalls(candidate);
    const callsAhead = Math.max(0, calls + 1 - candidate.slots);
    const wait = (callsAhead / candidate.slots) * EXPECTED_STEPS_PER_CALL *
      step;
    const uncachedTokens = Math.max(
      0,
      call.promptTokens - candidate.cachedTokens,
    );
    const prefill = (uncachedTokens / PREFILL_TOKENS_PER_STEP) * step;
    // Running calls share each step, so a larger batch is slightly slower.
    const batchDelay = (calls / candidate.slots) * step;
    return wait + batchDelay + prefill * (1 + this.#cacheWeight);
  }
}

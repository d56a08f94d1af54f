/** Placement by the expected end of the call. */

import {
  chooseLeast,
  countWork,
  type PlacementCall,
  type PlacementCandidate,
  type PlacementPolicy,
} from "./placement_policy.ts";

/** Prompt tokens that an engine computes in one step. */
const PREFILL_TOKENS_PER_STEP = 512;

/** Steps that a call ahead in the queue is expected to hold its slot. */
const EXPECTED_STEPS = 64;

/**
 * Takes the candidate where the call should end first: the wait for a slot,
 * then the prompt tokens that are not cached there. The weight counts tokens
 * computed again more or less than the time they take.
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
    return chooseLeast(
      candidates,
      (candidate) => this.estimate(call, candidate),
    );
  }

  /** Expected milliseconds until the call's first token, weighted. */
  estimate(call: PlacementCall, candidate: PlacementCandidate): number {
    const step = candidate.stepMilliseconds;
    const work = countWork(candidate);
    const ahead = Math.max(0, work + 1 - candidate.slots);
    const wait = (ahead / candidate.slots) * EXPECTED_STEPS * step;
    const uncached = Math.max(0, call.promptTokens - candidate.cachedTokens);
    const prefill = (uncached / PREFILL_TOKENS_PER_STEP) * step;
    // Running calls share each step, so a fuller batch is a little slower.
    const sharing = (work / candidate.slots) * step;
    return wait + sharing + prefill * (1 + this.#cacheWeight);
  }
}

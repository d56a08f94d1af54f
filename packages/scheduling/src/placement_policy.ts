/**
 * Interface and common functions of the placement policies, which choose the
 * sidecar for a call.
 */

/** A sidecar that can serve the call. */
export interface PlacementCandidate {
  readonly sidecarId: string;
  readonly failureDomain: string;
  /** Calls that this replica has in flight there; always current. */
  readonly ownCalls: number;
  /** Calls of other replicas according to the last report. */
  readonly otherCalls: number;
  readonly slots: number;
  readonly queueLimit: number;
  readonly stepMilliseconds: number;
  /** Tokens of this call's prompt that are probably cached there. */
  readonly cachedTokens: number;
}

/** The properties of a call that placement uses. */
export interface PlacementCall {
  readonly programId: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** Chooses a sidecar for a call. */
export interface PlacementPolicy {
  readonly name: string;
  /** Returns the chosen candidate, or undefined if none has capacity. */
  choose(
    call: PlacementCall,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined;
}

/**
 * Returns the known number of calls at a candidate; it may be stale, because
 * calls of other replicas are only reported.
 */
export function countCalls(candidate: PlacementCandidate): number {
  return candidate.ownCalls + candidate.otherCalls;
}

/**
 * Returns true if the candidate's queue has space according to the known number
 * of calls.
 */
export function hasCapacity(candidate: PlacementCandidate): boolean {
  return countCalls(candidate) < candidate.slots + candidate.queueLimit;
}

/** Returns the candidate with the lowest cost among those with capacity. */
export function chooseLowestCost(
  candidates: readonly PlacementCandidate[],
  computeCost: (candidate: PlacementCandidate) => number,
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  let lowestCost = Infinity;
  for (const candidate of candidates) {
    if (!hasCapacity(candidate)) continue;
    const cost = computeCost(candidate);
    if (cost >= lowestCost) continue;
    best = candidate;
    lowestCost = cost;
  }
  return best;
}

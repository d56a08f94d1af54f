/** Where a call should run. */

/** A sidecar that could take the call. */
export interface PlacementCandidate {
  readonly sidecarId: string;
  readonly failureDomain: string;
  /** Calls that this replica has there now; known without lag. */
  readonly ownCalls: number;
  /** Calls of other replicas, by the last report. */
  readonly otherCalls: number;
  readonly slots: number;
  readonly queueLimit: number;
  readonly stepMilliseconds: number;
  /** Tokens of this call's prompt that are probably cached there. */
  readonly cachedTokens: number;
}

/** What is known of the call. */
export interface PlacementCall {
  readonly programId: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** Chooses a sidecar for a call. */
export interface PlacementPolicy {
  readonly name: string;
  /** Returns the choice, or undefined if no candidate has room. */
  choose(
    call: PlacementCall,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined;
}

/** Calls that a candidate has, as far as can be known. */
export function countWork(candidate: PlacementCandidate): number {
  return candidate.ownCalls + candidate.otherCalls;
}

/** Returns true if the candidate's queue is not full, as far as can be known. */
export function hasRoom(candidate: PlacementCandidate): boolean {
  return countWork(candidate) < candidate.slots + candidate.queueLimit;
}

/** Returns the candidate with the least cost among those with room. */
export function chooseLeast(
  candidates: readonly PlacementCandidate[],
  findCost: (candidate: PlacementCandidate) => number,
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  let leastCost = Infinity;
  for (const candidate of candidates) {
    if (!hasRoom(candidate)) continue;
    const cost = findCost(candidate);
    if (cost >= leastCost) continue;
    best = candidate;
    leastCost = cost;
  }
  return best;
}

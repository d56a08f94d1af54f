/**
 * Spreads the members of a group over failure domains, so that a quorum
 * survives the loss or isolation of one domain if there are enough domains.
 * Stores are often named and listed domain by domain: the first five of a list
 * could all lie in the same domain.
 */

import type { Member } from "@mallowlift/core";

/** Counts the members in a failure domain. */
export function countInDomain(
  members: readonly Member[],
  failureDomain: string,
): number {
  return members.filter((member) => member.failureDomain === failureDomain)
    .length;
}

/**
 * Orders members so that the first ones cover as many failure domains as
 * possible. Members of the same domain keep their order.
 *
 * @example
 * ```ts
 * spreadOverDomains([a1, a2, b1, b2]); // a1, b1, a2, b2
 * ```
 */
export function spreadOverDomains(
  members: readonly Member[],
): readonly Member[] {
  const spread: Member[] = [];
  let rest = members;
  while (rest.length > 0) {
    const next = findInEmptiestDomain(rest, spread);
    spread.push(next);
    rest = rest.filter((member) => member !== next);
  }
  return spread;
}

/**
 * Returns the candidate whose failure domain holds the fewest of the other
 * members; the first one of several. Throws if there are no candidates.
 *
 * @example
 * ```ts
 * findInEmptiestDomain(candidates, voters); // the next voter
 * ```
 */
export function findInEmptiestDomain(
  candidates: readonly Member[],
  others: readonly Member[],
): Member {
  const [first, ...rest] = candidates;
  if (first === undefined) throw new Error("No candidates to choose from");
  let best = first;
  let lowestCount = countInDomain(others, first.failureDomain);
  for (const candidate of rest) {
    const count = countInDomain(others, candidate.failureDomain);
    if (count >= lowestCount) continue;
    best = candidate;
    lowestCount = count;
  }
  return best;
}

/**
 * Where copies of a group lie. Nothing here needs a network.
 *
 * The pattern it answers: a failure domain that is lost or cut off. Stores are
 * often named and listed domain by domain, so that the first five of a list are
 * those of one domain, and a quorum goes with it.
 */

import type { Member } from "@mallowlift/core";

/** How many of the members lie in a failure domain. */
export function countInDomain(
  members: readonly Member[],
  failureDomain: string,
): number {
  return members.filter((member) => member.failureDomain === failureDomain)
    .length;
}

/**
 * Orders members so that the first few lie in as many failure domains as there
 * are; within a domain they keep their order.
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
    const next = findLonely(rest, spread);
    spread.push(next);
    rest = rest.filter((member) => member !== next);
  }
  return spread;
}

/**
 * The first of some members whose failure domain holds the fewest others.
 *
 * @example
 * ```ts
 * findLonely(candidates, voters); // the next voter
 * ```
 */
export function findLonely(
  candidates: readonly Member[],
  others: readonly Member[],
): Member {
  const [first, ...rest] = candidates;
  if (first === undefined) throw new Error("There are no candidates");
  let best = first;
  let least = countInDomain(others, first.failureDomain);
  for (const candidate of rest) {
    const near = countInDomain(others, candidate.failureDomain);
    if (near >= least) continue;
    best = candidate;
    least = near;
  }
  return best;
}

/**
 * Which members without a vote get the entries of their group. Nothing here
 * needs a network.
 *
 * The load it answers: a group of a few voters on a site of many stores. A copy
 * at each of them costs the leader a message and an answer, and the ways between
 * failure domains the bytes, which no commit waits for and no loss needs.
 *
 * What it buys: as many copies as there may be losses, whatever the size of the
 * site. The others hear their leader a few times a second, hold nothing, and
 * are brought up to date when a warm one is lost or gets a vote.
 */

import type { Member } from "@mallowlift/core";
import { countInDomain } from "./failure_domains.ts";

/** A member without a vote as the leader sees it. */
export interface SpareView {
  readonly member: Member;
  /** True if it gets entries now. */
  readonly isWarm: boolean;
  /** Last entry that it is thought to hold. */
  readonly lastIndex: number;
  readonly silentMilliseconds: number;
}

/** What the choice goes by. */
export interface WarmLimits {
  /** Voters that the group should have. */
  readonly voterCount: number;
  /** Voters, by whose failure domains spares are spread. */
  readonly voters: readonly Member[];
  /** Silence after which a warm spare is given up, ms. */
  readonly lostMilliseconds: number;
  /** Silence up to which a spare may become warm, ms. */
  readonly freshMilliseconds: number;
}

/**
 * Chooses the spares that get entries: as many as voters may be lost at once,
 * one at least, and more while voters are missing.
 *
 * @example
 * ```ts
 * chooseWarmSpares(spares, { voterCount: 5, voters, lostMilliseconds: 1_600, freshMilliseconds: 600 });
 * // two members, in failure domains that have the fewest voters
 * ```
 */
export function chooseWarmSpares(
  spares: readonly SpareView[],
  limits: WarmLimits,
): ReadonlySet<Member> {
  const { voterCount, voters } = limits;
  const missing = Math.max(0, voterCount - voters.length);
  const wanted = missing + Math.max(1, Math.floor((voterCount - 1) / 2));
  const warm = new Set<Member>();
  for (const spare of spares) {
    const isKept = spare.isWarm &&
      spare.silentMilliseconds <= limits.lostMilliseconds;
    if (isKept && warm.size < wanted) warm.add(spare.member);
  }
  const candidates = spares.filter((spare) =>
    spare.silentMilliseconds <= limits.freshMilliseconds
  );
  while (warm.size < wanted) {
    const next = findNext(candidates, { warm, voters });
    if (next === undefined) break;
    warm.add(next);
  }
  return warm;
}

/** The candidate whose failure domain has the fewest copies, then the fullest. */
function findNext(
  candidates: readonly SpareView[],
  chosen: {
    readonly warm: ReadonlySet<Member>;
    readonly voters: readonly Member[];
  },
): Member | undefined {
  const { warm, voters } = chosen;
  const copies = [...voters, ...warm];
  let best: { readonly spare: SpareView; readonly near: number } | undefined;
  for (const spare of candidates) {
    if (warm.has(spare.member)) continue;
    const near = countInDomain(copies, spare.member.failureDomain);
    const isBetter = best === undefined || near < best.near ||
      (near === best.near && isPreferred(spare, best.spare));
    if (isBetter) best = { spare, near };
  }
  return best?.spare.member;
}

/** Less to send goes first; the name decides where nothing else does. */
function isPreferred(spare: SpareView, other: SpareView): boolean {
  if (spare.lastIndex !== other.lastIndex) {
    return spare.lastIndex > other.lastIndex;
  }
  return spare.member.replicaId < other.member.replicaId;
}

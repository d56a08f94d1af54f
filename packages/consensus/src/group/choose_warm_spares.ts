/**
 * Chooses the members without a vote that receive the entries of their group.
 *
 * On a site of many stores, a copy at every store would cost the leader a
 * message and a reply per batch, and traffic between failure domains, without
 * helping commits or fault tolerance. So only as many spares as voters may be
 * lost receive entries, whatever the size of the site. The other spares receive
 * only heartbeats, hold no entries, and are brought up to date when a warm spare
 * is lost or becomes a voter.
 */

import type { Member } from "@mallowlift/core";
import { countInDomain } from "./failure_domains.ts";

/** A member without a vote as the leader sees it. */
export interface SpareView {
  readonly member: Member;
  /** True if the member receives entries now. */
  readonly isWarm: boolean;
  /** Highest index that the member has reported. */
  readonly lastIndex: number;
  /** Time since the member's latest reply. */
  readonly silentMilliseconds: number;
}

/** Size of the group and the time limits for the choice. */
export interface WarmLimits {
  /** Voters that the group should have. */
  readonly voterCount: number;
  /** Current voters; spares are spread over failure domains with few of them. */
  readonly voters: readonly Member[];
  /** Time without a reply after which a warm spare is replaced, ms. */
  readonly lostMilliseconds: number;
  /** Longest time without a reply at which a spare may become warm, ms. */
  readonly freshMilliseconds: number;
}

/**
 * Chooses the spares that receive entries: as many as voters may be lost at
 * once, at least one, and one more for each missing voter. Warm spares that are
 * not lost stay warm.
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
  const wantedCount = missing + Math.max(1, Math.floor((voterCount - 1) / 2));
  const warm = new Set<Member>();
  for (const spare of spares) {
    const isKept = spare.isWarm &&
      spare.silentMilliseconds <= limits.lostMilliseconds;
    if (isKept && warm.size < wantedCount) warm.add(spare.member);
  }
  const candidates = spares.filter((spare) =>
    spare.silentMilliseconds <= limits.freshMilliseconds
  );
  while (warm.size < wantedCount) {
    const next = chooseNext(candidates, { warm, voters });
    if (next === undefined) break;
    warm.add(next);
  }
  return warm;
}

/**
 * Returns the candidate in the failure domain with the fewest copies; among
 * equals the one with the most entries.
 */
function chooseNext(
  candidates: readonly SpareView[],
  chosen: {
    readonly warm: ReadonlySet<Member>;
    readonly voters: readonly Member[];
  },
): Member | undefined {
  const { warm, voters } = chosen;
  const copies = [...voters, ...warm];
  let best:
    | { readonly spare: SpareView; readonly copyCount: number }
    | undefined;
  for (const spare of candidates) {
    if (warm.has(spare.member)) continue;
    const copyCount = countInDomain(copies, spare.member.failureDomain);
    const isBetter = best === undefined || copyCount < best.copyCount ||
      (copyCount === best.copyCount && isPreferred(spare, best.spare));
    if (isBetter) best = { spare, copyCount };
  }
  return best?.spare.member;
}

/** Prefers the spare with more entries, then the lower replica id. */
function isPreferred(spare: SpareView, other: SpareView): boolean {
  if (spare.lastIndex !== other.lastIndex) {
    return spare.lastIndex > other.lastIndex;
  }
  return spare.member.replicaId < other.member.replicaId;
}

/**
 * Plans the next membership change of a group: promotions, replacements and
 * removals.
 */

import { type Member, MEMBER_ROLES } from "@mallowlift/core";
import { findInEmptiestDomain } from "./failure_domains.ts";

/** Largest lag at which a member counts as caught up, entries. */
const MAX_CAUGHT_UP_LAG_ENTRIES = 64;

/** State of one member as the leader sees it. */
export interface MemberHealth {
  readonly member: Member;
  /** True for the leader itself. */
  readonly isSelf: boolean;
  /** Entries that it lacks; Infinity if it receives none. */
  readonly lag: number;
  /** Time since its last reply, ms. */
  readonly silentMilliseconds: number;
}

/** Limits for membership changes. */
export interface MembershipLimits {
  /** Voters that the group should have. */
  readonly voterCount: number;
  /** Silence after which a voter is replaced, ms. */
  readonly standbyMilliseconds: number;
  /** Longest silence at which a member may be promoted, ms. */
  readonly learnerSilenceMilliseconds: number;
  /** Incarnations of members that are being retired. */
  readonly retiring?: ReadonlySet<string>;
}

/**
 * Returns the members after the next change, or undefined if none is due. A
 * change adds or removes one voter at most. A lost or retiring voter is removed
 * only after a replacement has been promoted, so that the group keeps its
 * number of voters.
 *
 * @example
 * ```ts
 * const self = { member, isSelf: true, lag: 0, silentMilliseconds: 0 };
 * planMembershipChange([self], limits); // undefined if no change is due
 * ```
 */
export function planMembershipChange(
  health: readonly MemberHealth[],
  limits: MembershipLimits,
): readonly Member[] | undefined {
  const members = health.map((state) => state.member);
  const voters = health.filter((state) =>
    state.member.role === MEMBER_ROLES.VOTER
  );
  const isRetiring = (state: MemberHealth) =>
    limits.retiring?.has(state.member.incarnation) === true;
  const retiringLearner = health.find((state) =>
    state.member.role !== MEMBER_ROLES.VOTER && isRetiring(state)
  );
  if (retiringLearner !== undefined) {
    return members.filter((member) => member !== retiringLearner.member);
  }
  const leavingVoter =
    voters.find((state) =>
      !state.isSelf && state.silentMilliseconds > limits.standbyMilliseconds
    ) ?? voters.find(isRetiring);
  if (voters.length > limits.voterCount) {
    // A retiring leader hands over first; the next leader removes it.
    if (leavingVoter === undefined || leavingVoter.isSelf) return undefined;
    return members.filter((member) => member !== leavingVoter.member);
  }
  const needsVoter = voters.length < limits.voterCount ||
    leavingVoter !== undefined;
  if (!needsVoter) return undefined;
  const candidates = listPromotable(health, limits);
  if (candidates.length === 0) return undefined;
  const remaining = voters.filter((state) => state !== leavingVoter);
  const promoted = findInEmptiestDomain(
    candidates,
    remaining.map((state) => state.member),
  );
  return members.map((member) =>
    member === promoted ? promote(member) : member
  );
}

/**
 * Returns the members with a joining replica, which replaces an earlier
 * incarnation of itself.
 */
export function addLearner(
  members: readonly Member[],
  joining: Member,
): readonly Member[] {
  const others = members.filter((member) =>
    member.replicaId !== joining.replicaId
  );
  return [...others, joining];
}

/**
 * Lists the members without a vote that are caught up, in contact and not
 * retiring.
 */
function listPromotable(
  health: readonly MemberHealth[],
  limits: MembershipLimits,
): readonly Member[] {
  const promotable: Member[] = [];
  for (const state of health) {
    if (state.member.role === MEMBER_ROLES.VOTER) continue;
    if (state.silentMilliseconds > limits.learnerSilenceMilliseconds) continue;
    if (limits.retiring?.has(state.member.incarnation)) continue;
    if (state.lag <= MAX_CAUGHT_UP_LAG_ENTRIES) promotable.push(state.member);
  }
  return promotable;
}

function promote(member: Member): Member {
  return { ...member, role: MEMBER_ROLES.VOTER };
}

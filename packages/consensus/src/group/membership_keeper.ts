/** Decides the next membership change of a group that this replica leads. */

import { type Member, MEMBER_ROLES } from "@mallowlift/core";
import { findLonely } from "./failure_domains.ts";

const CAUGHT_UP_ENTRIES = 64;

/** What the keeper knows of one member. */
export interface MemberHealth {
  readonly member: Member;
  readonly self: boolean;
  /** Entries that it lacks. */
  readonly lag: number;
  readonly silentMilliseconds: number;
}

/** Limits that the keeper works by. */
export interface KeeperLimits {
  readonly voterCount: number;
  /** Silence after which a voter is given up. */
  readonly standbyMilliseconds: number;
  /** Silence after which a learner is not promoted. */
  readonly freshMilliseconds: number;
  /** Incarnations of members that are to leave for good. */
  readonly retiring?: ReadonlySet<string>;
}

/**
 * Returns the members after the next change, or undefined if none is due.
 * Changes one voter at most. A lost voter leaves only after a standby has
 * joined, so that the group never has fewer voters than it could.
 *
 * @example
 * ```ts
 * planMembers([{ member, self: true, lag: 0, silentMilliseconds: 0 }], limits);
 * ```
 */
export function planMembers(
  health: readonly MemberHealth[],
  limits: KeeperLimits,
): readonly Member[] | undefined {
  const members = health.map((known) => known.member);
  const voters = health.filter((known) =>
    known.member.role === MEMBER_ROLES.VOTER
  );
  const isRetiring = (known: MemberHealth) =>
    limits.retiring?.has(known.member.incarnation) === true;
  const idle = health.find((known) =>
    known.member.role !== MEMBER_ROLES.VOTER && isRetiring(known)
  );
  if (idle !== undefined) {
    return members.filter((member) => member !== idle.member);
  }
  const silent =
    voters.find((known) =>
      !known.self && known.silentMilliseconds > limits.standbyMilliseconds
    ) ?? voters.find(isRetiring);
  if (voters.length > limits.voterCount) {
    // A leader that retires hands over first; the next one lets it go.
    if (silent === undefined || silent.self) return undefined;
    return members.filter((member) => member !== silent.member);
  }
  const isWanted = voters.length < limits.voterCount || silent !== undefined;
  if (!isWanted) return undefined;
  const candidates = listReady(health, limits);
  if (candidates.length === 0) return undefined;
  const staying = voters.filter((known) => known !== silent);
  const ready = findLonely(candidates, staying.map((known) => known.member));
  return members.map((member) => member === ready ? promote(member) : member);
}

/** Returns the members once a replica with a new incarnation has joined. */
export function addLearner(
  members: readonly Member[],
  joining: Member,
): readonly Member[] {
  const others = members.filter((member) =>
    member.replicaId !== joining.replicaId
  );
  return [...others, joining];
}

/** Members without a vote that could take one at once. */
function listReady(
  health: readonly MemberHealth[],
  limits: KeeperLimits,
): readonly Member[] {
  const ready: Member[] = [];
  for (const known of health) {
    if (known.member.role === MEMBER_ROLES.VOTER) continue;
    if (known.silentMilliseconds > limits.freshMilliseconds) continue;
    if (limits.retiring?.has(known.member.incarnation)) continue;
    if (known.lag <= CAUGHT_UP_ENTRIES) ready.push(known.member);
  }
  return ready;
}

function promote(member: Member): Member {
  return { ...member, role: MEMBER_ROLES.VOTER };
}

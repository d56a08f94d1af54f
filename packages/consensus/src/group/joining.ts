/**
 * Join protocol: a replica sends join requests, and the leader adds it to the
 * members.
 */

import { performance } from "node:perf_hooks";
import {
  fail,
  type JoinRequest,
  type Member,
  type Outcome,
  RESULT_CODES,
  sleep,
} from "@mallowlift/core";
import type { PeerLinks } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { ReplicaSource } from "../founding/replica_source.ts";
import type { GroupTiming } from "./group_options.ts";
import { MEMBERSHIP_CHECK_MILLISECONDS } from "./maintain_members.ts";
import { addLearner } from "./membership_keeper.ts";
import type { ReplicatedGroup } from "./replicated_group.ts";

/**
 * Timeout of a join request to one replica, ms. The leader confirms its
 * leadership with a quorum before it answers.
 */
const JOIN_TIMEOUT_MILLISECONDS = 2_000;

/** Dependencies of {@linkcode maintainMembership}. */
export interface JoinParts {
  readonly self: Member;
  readonly replicas: ReplicaSource;
  readonly links: PeerLinks;
  readonly timing: GroupTiming;
  readonly signal: AbortSignal;
}

/**
 * Sends join requests whenever no leader has this replica as a member, until
 * the signal aborts.
 */
export async function maintainMembership(
  group: ReplicatedGroup,
  parts: JoinParts,
): Promise<void> {
  const { self, replicas, signal } = parts;
  while (!signal.aborted) {
    await sleep(MEMBERSHIP_CHECK_MILLISECONDS, signal);
    const isMember = group.membership.find(self) !== undefined;
    if (isJoined(group, { isMember, timing: parts.timing })) continue;
    if (replicas.listRetiringIncarnations().has(self.incarnation)) continue;
    await requestToJoin(group, { ...parts, isMember });
  }
}

/** True if this replica is in contact with a leader that has it as a member. */
function isJoined(
  group: ReplicatedGroup,
  facts: { readonly isMember: boolean; readonly timing: GroupTiming },
): boolean {
  const silenceLimit = 4 * facts.timing.electionMilliseconds;
  if (group.findLeaderSilence(performance.now()) >= silenceLimit) return false;
  // A cold spare is not sent the membership entry that added it, so it can't
  // find itself in its own log. Each further join request would append another
  // such entry.
  return facts.isMember || group.isCold;
}

/** Sends a join request to each replica until one succeeds. */
async function requestToJoin(
  group: ReplicatedGroup,
  parts: JoinParts & { readonly isMember: boolean },
): Promise<void> {
  const { self, replicas, links, isMember } = parts;
  for (const replica of replicas.list()) {
    if (replica.replicaId === self.replicaId) continue;
    const joined = await links.get(replica.address).call(
      "consensus.join",
      { group: group.group, member: self, knowsItself: isMember },
      { timeoutMilliseconds: JOIN_TIMEOUT_MILLISECONDS },
    );
    if (joined.ok) return;
  }
}

/**
 * Adds a replica to the members if this replica leads; fails with NOT_LEADER
 * otherwise.
 */
export async function admitMember(
  group: ReplicatedGroup,
  request: JoinRequest,
): Promise<Outcome<Record<string, never>>> {
  if (!group.isLeading) {
    return fail(RESULT_CODES.NOT_LEADER, "This replica is not the leader");
  }
  const confirmed = await group.confirmLeadership();
  if (confirmed.err) return confirmed;
  const { members: currentMembers } = group.membership;
  const isMember = group.membership.find(request.member) !== undefined;
  if (isMember && request.knowsItself) return Ok({});
  // A founder that missed the founding is a member already, but does not know
  // the members. Appending the unchanged membership sends them to it.
  const members = isMember
    ? currentMembers
    : addLearner(currentMembers, request.member);
  const changed = await group.changeMembers(members);
  return changed.ok ? Ok({}) : changed;
}

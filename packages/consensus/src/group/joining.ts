/** How a replica becomes a member: it asks, and the leader takes it in. */

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
import { KEEP_MILLISECONDS } from "./keep_members.ts";
import { addLearner } from "./membership_keeper.ts";
import type { ReplicatedGroup } from "./replicated_group.ts";

/** Longest wait for the answer of one replica, ms: a leader confirms itself first. */
const JOIN_TIMEOUT_MILLISECONDS = 2_000;

/** What a replica asks with. */
export interface JoinParts {
  readonly self: Member;
  readonly replicas: ReplicaSource;
  readonly links: PeerLinks;
  readonly timing: GroupTiming;
  readonly signal: AbortSignal;
}

/** Asks to be taken in, for as long as no leader counts this replica. */
export async function keepJoined(
  group: ReplicatedGroup,
  parts: JoinParts,
): Promise<void> {
  const { self, replicas, signal } = parts;
  while (!signal.aborted) {
    await sleep(KEEP_MILLISECONDS, signal);
    const isMember = group.membership.find(self) !== undefined;
    if (isCounted(group, { isMember, timing: parts.timing })) continue;
    if (replicas.listRetiring().has(self.incarnation)) continue;
    await askToJoin(group, { ...parts, isMember });
  }
}

function isCounted(
  group: ReplicatedGroup,
  facts: { readonly isMember: boolean; readonly timing: GroupTiming },
): boolean {
  const patience = 4 * facts.timing.electionMilliseconds;
  if (group.findSilence(performance.now()) >= patience) return false;
  // A cold spare was not sent the entry by which it was taken in; each ask
  // would be another one.
  return facts.isMember || group.isCold;
}

async function askToJoin(
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

/** Takes a replica in, if this one leads. */
export async function takeIn(
  group: ReplicatedGroup,
  request: JoinRequest,
): Promise<Outcome<Record<string, never>>> {
  if (!group.isLeading) {
    return fail(RESULT_CODES.NOT_LEADER, "This replica does not lead");
  }
  const confirmed = await group.confirmLeadership();
  if (confirmed.err) return confirmed;
  const { members: present } = group.membership;
  const isKnown = group.membership.find(request.member) !== undefined;
  if (isKnown && request.knowsItself) return Ok({});
  // A founder that has missed the founding learns of the members by an entry.
  const members = isKnown ? present : addLearner(present, request.member);
  const changed = await group.changeMembers(members);
  return changed.ok ? Ok({}) : changed;
}

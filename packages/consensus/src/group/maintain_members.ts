/**
 * Background task that promotes and replaces members of a group while this
 * replica leads it.
 */

import { performance } from "node:perf_hooks";
import {
  type Logger,
  MEMBER_ROLES,
  type ReplicaIdentity,
  sleep,
} from "@mallowlift/core";
import type { ReplicaSource } from "../founding/replica_source.ts";
import type { GroupTiming } from "./group_options.ts";
import { isSameReplica } from "./membership.ts";
import {
  type MemberHealth,
  planMembershipChange,
} from "./membership_keeper.ts";
import type { ReplicatedGroup } from "./replicated_group.ts";

/** Time between two checks of the membership, ms. */
export const MEMBERSHIP_CHECK_MILLISECONDS = 300;

/** Dependencies of {@linkcode maintainMembers}. */
export interface MaintainMembersParts {
  readonly identity: ReplicaIdentity;
  readonly replicas: ReplicaSource;
  readonly timing: GroupTiming;
  readonly logger: Logger;
  readonly signal: AbortSignal;
}

/** Plans and carries out membership changes until the signal aborts. */
export async function maintainMembers(
  group: ReplicatedGroup,
  parts: MaintainMembersParts,
): Promise<void> {
  const { timing, replicas, logger, signal } = parts;
  while (!signal.aborted) {
    await sleep(MEMBERSHIP_CHECK_MILLISECONDS, signal);
    if (!group.isLeading) continue;
    const retiring = replicas.listRetiringIncarnations();
    const health = describeHealth(group, parts.identity);
    const newMembers = planMembershipChange(health, {
      voterCount: replicas.voterCount,
      standbyMilliseconds: timing.standbyMilliseconds,
      learnerSilenceMilliseconds: 2 * timing.electionMilliseconds,
      retiring,
    });
    if (newMembers === undefined) {
      if (mustHandOver(health, { retiring, replicas })) {
        await group.handOver();
      }
      continue;
    }
    await group.changeMembers(newMembers);
    logger.info("Members changed", { group: group.group });
  }
}

function describeHealth(
  group: ReplicatedGroup,
  identity: ReplicaIdentity,
): readonly MemberHealth[] {
  const now = performance.now();
  const lag = group.leadership?.describeLag(now) ?? [];
  return group.membership.members.map((member) => {
    const isSelf = isSameReplica(member, identity);
    const memberLag = lag.find((peer) => peer.replicaId === member.replicaId);
    return {
      member,
      isSelf,
      // A cold spare receives no entries, so it is never promoted, even if it
      // happens to lack none on an idle site.
      lag: isSelf
        ? 0
        : memberLag?.isFed === true
        ? memberLag.entries
        : Infinity,
      silentMilliseconds: isSelf
        ? 0
        : memberLag?.silentMilliseconds ?? Infinity,
    };
  });
}

/**
 * True if this leader is to retire and its replacement already votes: the next
 * leader can then remove this replica.
 */
function mustHandOver(
  health: readonly MemberHealth[],
  options: {
    readonly retiring: ReadonlySet<string>;
    readonly replicas: ReplicaSource;
  },
): boolean {
  const voters = health.filter(({ member }) =>
    member.role === MEMBER_ROLES.VOTER
  );
  const self = voters.find((state) => state.isSelf);
  return self !== undefined &&
    options.retiring.has(self.member.incarnation) &&
    voters.length > options.replicas.voterCount;
}

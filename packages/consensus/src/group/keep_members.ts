/** Task of a group that promotes and replaces members while its replica leads. */

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
import { type MemberHealth, planMembers } from "./membership_keeper.ts";
import type { ReplicatedGroup } from "./replicated_group.ts";

/** Time between two looks at the members, ms. */
export const KEEP_MILLISECONDS = 300;

/** What the task works with. */
export interface KeepMembersParts {
  readonly identity: ReplicaIdentity;
  readonly replicas: ReplicaSource;
  readonly timing: GroupTiming;
  readonly logger: Logger;
  readonly signal: AbortSignal;
}

/** Keeps the members of a group until the signal aborts. */
export async function keepMembers(
  group: ReplicatedGroup,
  parts: KeepMembersParts,
): Promise<void> {
  const { timing, replicas, logger, signal } = parts;
  while (!signal.aborted) {
    await sleep(KEEP_MILLISECONDS, signal);
    if (!group.isLeading) continue;
    const retiring = replicas.listRetiring();
    const health = describeHealth(group, parts.identity);
    const planned = planMembers(health, {
      voterCount: replicas.voterCount,
      standbyMilliseconds: timing.standbyMilliseconds,
      freshMilliseconds: 2 * timing.electionMilliseconds,
      retiring,
    });
    if (planned === undefined) {
      if (isLeaderToLeave(health, { retiring, replicas })) {
        await group.handOver();
      }
      continue;
    }
    await group.changeMembers(planned);
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
    const self = isSameReplica(member, identity);
    const known = lag.find((peer) => peer.replicaId === member.replicaId);
    return {
      member,
      self,
      // What is caught up by chance on an idle site gets no vote either.
      lag: self ? 0 : known?.isFed === true ? known.entries : Infinity,
      silentMilliseconds: self ? 0 : known?.silentMilliseconds ?? Infinity,
    };
  });
}

/** True if this leader is the last one that keeps a retirement from its end. */
function isLeaderToLeave(
  health: readonly MemberHealth[],
  options: {
    readonly retiring: ReadonlySet<string>;
    readonly replicas: ReplicaSource;
  },
): boolean {
  const voters = health.filter(({ member }) =>
    member.role === MEMBER_ROLES.VOTER
  );
  const self = voters.find((known) => known.self);
  return self !== undefined &&
    options.retiring.has(self.member.incarnation) &&
    voters.length > options.replicas.voterCount;
}

/** Puts the status of the whole site together. */

import type {
  FollowerStatus,
  GroupStatus,
  ReplicaStatus,
  SidecarStatus,
} from "@mallowlift/core";
import type { EntryParts } from "../entry_parts.ts";

const STATUS_MILLISECONDS = 1_000;

/** Status of the whole site, for operators. */
export interface SiteStatus {
  readonly revision: number;
  readonly replicas: readonly ReplicaSummary[];
  /** Each group as its leader sees it. */
  readonly groups: readonly GroupStatus[];
  readonly sidecars: readonly SidecarStatus[];
  /** Daemons that follow the configuration. */
  readonly followers: readonly FollowerStatus[];
  readonly refusals: readonly RefusalCount[];
}

/** One replica in short. */
export interface ReplicaSummary {
  readonly replicaId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly leads: readonly number[];
  readonly openCalls: number;
  readonly programs: number;
}

/** Refusals of this entry for one reason. */
export interface RefusalCount {
  readonly part: string;
  readonly reason: string;
  readonly count: number;
}

/** Asks every replica and puts the answers together. */
export async function collectStatus(parts: EntryParts): Promise<SiteStatus> {
  const answers = await Promise.all(
    parts.owners.replicas.map((replica) =>
      replica.call("replica.status", {}, {
        timeoutMilliseconds: STATUS_MILLISECONDS,
      })
    ),
  );
  const replicas: ReplicaStatus[] = [];
  for (const answer of answers) {
    if (answer.ok) replicas.push(answer.val);
  }
  const groups = replicas.flatMap((replica) =>
    replica.groups.filter((group) => group.state === "leader")
  );
  groups.sort((left, right) => left.group - right.group);
  return {
    revision: Math.max(-1, ...replicas.map((replica) => replica.revision)),
    replicas: replicas.map(summarize),
    groups,
    sidecars: replicas[0]?.sidecars ?? [],
    followers: replicas.flatMap((replica) => replica.followers)
      .filter((follower) => follower.daemonId !== ""),
    refusals: await countRefusals(parts),
  };
}

function summarize(replica: ReplicaStatus): ReplicaSummary {
  const leads = replica.groups.filter((group) => group.state === "leader")
    .map((group) => group.group);
  return {
    replicaId: replica.replicaId,
    incarnation: replica.incarnation,
    failureDomain: replica.failureDomain,
    leads,
    openCalls: replica.openCalls,
    programs: replica.programs,
  };
}

async function countRefusals(
  parts: EntryParts,
): Promise<readonly RefusalCount[]> {
  const metric = await parts.metrics.refusals.get();
  return metric.values.map((value) => ({
    part: String(value.labels.part),
    reason: String(value.labels.reason),
    count: value.value,
  }));
}

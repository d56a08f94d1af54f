/** Collects the status of the whole site from its replicas. */

import type {
  FollowerStatus,
  GroupStatus,
  ReplicaStatus,
  SidecarStatus,
} from "@mallowlift/core";
import type { EntryContext } from "../entry_context.ts";

const STATUS_TIMEOUT_MILLISECONDS = 1_000;

/** Status of the whole site, for operators. */
export interface SiteStatus {
  readonly revision: number;
  readonly replicas: readonly ReplicaSummary[];
  /** State of each group, as reported by its leader. */
  readonly groups: readonly GroupStatus[];
  readonly sidecars: readonly SidecarStatus[];
  /** Daemons that follow the configuration. */
  readonly followers: readonly FollowerStatus[];
  readonly refusals: readonly RefusalCount[];
}

/** Summary of one replica. */
export interface ReplicaSummary {
  readonly replicaId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly leads: readonly number[];
  readonly openCalls: number;
  readonly programs: number;
}

/** Number of requests that this entry has rejected for one reason. */
export interface RefusalCount {
  readonly part: string;
  readonly reason: string;
  readonly count: number;
}

/**
 * Requests the status of every replica and merges the replies. Replicas that do
 * not reply within the timeout are left out.
 */
export async function collectStatus(
  context: EntryContext,
  signal: AbortSignal,
): Promise<SiteStatus> {
  const answers = await Promise.all(
    context.owners.replicas.map((replica) =>
      replica.call("replica.status", {}, {
        timeoutMilliseconds: STATUS_TIMEOUT_MILLISECONDS,
        signal,
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
    replicas: replicas.map(summarizeReplica),
    groups,
    sidecars: replicas[0]?.sidecars ?? [],
    followers: replicas.flatMap((replica) => replica.followers)
      .filter((follower) => follower.daemonId !== ""),
    refusals: await readRefusalCounts(context),
  };
}

function summarizeReplica(replica: ReplicaStatus): ReplicaSummary {
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

async function readRefusalCounts(
  context: EntryContext,
): Promise<readonly RefusalCount[]> {
  const metric = await context.metrics.refusals.get();
  return metric.values.map((value) => ({
    part: String(value.labels.part),
    reason: String(value.labels.reason),
    count: value.value,
  }));
}

/** Formats the status of a site as text. */

import type {
  FollowerStatus,
  GroupStatus,
  SidecarStatus,
} from "@mallowlift/core";
import { formatTable } from "./format_table.ts";

/** Body of an entry's response with the status of its site. */
export interface SiteStatusBody {
  readonly revision: number;
  readonly replicas: readonly {
    readonly replicaId: string;
    readonly failureDomain: string;
    readonly incarnation: string;
    readonly leads: readonly number[];
    readonly openCalls: number;
    readonly programs: number;
  }[];
  readonly groups: readonly GroupStatus[];
  readonly sidecars: readonly SidecarStatus[];
  readonly followers: readonly FollowerStatus[];
  readonly refusals: readonly {
    readonly part: string;
    readonly reason: string;
    readonly count: number;
  }[];
}

const INCARNATION_PREFIX_LENGTH = 8;

/** Formats members, leaders, lag, revisions, queues, drains and refusals. */
export function describeStatus(status: SiteStatusBody): string {
  return [
    `Revision in force: ${status.revision}`,
    describeLaggingFollowers(status),
    formatTable(
      [
        "REPLICA",
        "FAILURE DOMAIN",
        "INCARNATION",
        "LEADS",
        "PROGRAMS",
        "OPEN CALLS",
      ],
      status.replicas.map((replica) => [
        replica.replicaId,
        replica.failureDomain,
        replica.incarnation.slice(0, INCARNATION_PREFIX_LENGTH),
        replica.leads.join(",") || "-",
        String(replica.programs),
        String(replica.openCalls),
      ]),
    ),
    formatTable(
      ["GROUP", "LEADER", "TERM", "COMMITTED", "MEMBERS", "LAG"],
      status.groups.map((group) => [
        String(group.group),
        group.leader,
        String(group.term),
        String(group.commitIndex),
        group.members.map((member) => `${member.replicaId}:${member.role}`)
          .join(" "),
        group.lag.map((member) => `${member.replicaId}:${member.entries}`).join(
          " ",
        ),
      ]),
    ),
    formatTable(
      ["SIDECAR", "FAILURE DOMAIN", "SERVES", "RUNNING", "QUEUED", "STATE"],
      status.sidecars.map(describeSidecar),
    ),
    describeRefusals(status),
  ].join("\n\n");
}

function describeLaggingFollowers(status: SiteStatusBody): string {
  const laggingFollowers = status.followers.filter((follower) =>
    follower.revision < status.revision
  );
  if (laggingFollowers.length === 0) {
    return `All ${status.followers.length} followers have it`;
  }
  const names = laggingFollowers.map((follower) =>
    `${follower.daemonId} at ${follower.revision}`
  );
  return `Lagging: ${names.join(", ")}`;
}

function describeSidecar(sidecar: SidecarStatus): readonly string[] {
  const { report } = sidecar;
  return [
    report.sidecarId,
    report.failureDomain,
    report.type === "model" ? report.models.join(",") : report.service,
    `${report.running}/${report.slots}`,
    `${report.queued}/${report.queueLimit}`,
    report.draining ? "draining" : `heard ${sidecar.lastReportAt} ms ago`,
  ];
}

function describeRefusals(status: SiteStatusBody): string {
  if (status.refusals.length === 0) return "No refusals at this entry";
  const rows = status.refusals.map((
    refusal,
  ) => [refusal.part, refusal.reason, String(refusal.count)]);
  return formatTable(["PART", "REFUSED FOR", "COUNT"], rows);
}

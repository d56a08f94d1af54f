/** The status of a site at a glance. */

import type {
  FollowerStatus,
  GroupStatus,
  SidecarStatus,
} from "@mallowlift/core";
import { formatTable } from "./format_table.ts";

/** Status of a site, as an entry answers. */
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

const SHORT_INCARNATION = 8;

/** Describes members, leaders, lag, revisions, queues, drains and refusals. */
export function describeStatus(status: SiteStatusBody): string {
  return [
    `Revision in force: ${status.revision}`,
    describeLaggards(status),
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
        replica.incarnation.slice(0, SHORT_INCARNATION),
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

function describeLaggards(status: SiteStatusBody): string {
  const laggards = status.followers.filter((known) =>
    known.revision < status.revision
  );
  if (laggards.length === 0) {
    return `All ${status.followers.length} followers have it`;
  }
  const names = laggards.map((known) =>
    `${known.daemonId} at ${known.revision}`
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
    known,
  ) => [known.part, known.reason, String(known.count)]);
  return formatTable(["PART", "REFUSED FOR", "COUNT"], rows);
}

/** What this replica knows of sidecars, from their reports. */

import type { CallBody, SidecarReport, SidecarStatus } from "@mallowlift/core";
import type { PlacementCandidate } from "@mallowlift/scheduling";
import type { Caller, PeerLinks } from "@mallowlift/transport";
import type { AttemptTarget } from "@mallowlift/programs";
import { CacheRecords } from "./cache_records.ts";

/** A sidecar as candidate for one call. */
export interface SidecarCandidate extends PlacementCandidate {
  readonly target: AttemptTarget;
}

interface KnownSidecar {
  report: SidecarReport;
  reportedAt: number;
  /** Attempts of this replica that are under way. */
  ownCalls: number;
  /** Calls of other replicas, when the last report came. */
  otherCalls: number;
}

/** Sidecars by id. */
export class SidecarDirectory {
  readonly cache = new CacheRecords();
  readonly #links: PeerLinks;
  readonly #silenceMilliseconds: number;
  readonly #sidecars = new Map<string, KnownSidecar>();

  constructor(links: PeerLinks, silenceMilliseconds: number) {
    this.#links = links;
    this.#silenceMilliseconds = silenceMilliseconds;
  }

  /** Takes a report. */
  takeReport(report: SidecarReport, now: number): void {
    const known = this.#sidecars.get(report.sidecarId);
    if (known !== undefined && known.report.bootId !== report.bootId) {
      this.cache.forgetSidecar(report.sidecarId);
    }
    const ownCalls = known?.ownCalls ?? 0;
    // What a report counts beyond the own calls belongs to other replicas.
    const otherCalls = Math.max(0, report.running + report.queued - ownCalls);
    this.#sidecars.set(report.sidecarId, {
      report,
      reportedAt: now,
      ownCalls,
      otherCalls,
    });
    for (const change of report.cacheChanges) {
      this.cache.note(report.sidecarId, change.programId, change.tokens);
    }
  }

  /** Returns the sidecars that could run a call now. */
  listCandidates(
    body: CallBody,
    programId: string,
    now: number,
  ): readonly SidecarCandidate[] {
    const candidates: SidecarCandidate[] = [];
    for (const known of this.#sidecars.values()) {
      if (now - known.reportedAt > this.#silenceMilliseconds) continue;
      if (known.report.draining || !canServe(known.report, body)) continue;
      candidates.push(this.#describe(known, programId));
    }
    return candidates;
  }

  /** Addresses of sidecars whose engines may hold memory for a program. */
  listCacheAddresses(programId: string): readonly string[] {
    const addresses: string[] = [];
    for (const sidecarId of this.cache.listSidecars(programId)) {
      const known = this.#sidecars.get(sidecarId);
      if (known !== undefined) addresses.push(known.report.address);
    }
    return addresses;
  }

  /** Notes that attempts of this replica were sent, or with -1 that one ended. */
  countOwn(sidecarId: string, change: number): void {
    const known = this.#sidecars.get(sidecarId);
    if (known === undefined) return;
    known.ownCalls = Math.max(0, known.ownCalls + change);
  }

  /** Returns the way to a sidecar. */
  findCaller(address: string): Caller {
    return this.#links.get(address);
  }

  /** All sidecars, for operators. */
  describe(now: number): readonly SidecarStatus[] {
    return [...this.#sidecars.values()].map((known) => ({
      report: known.report,
      lastReportAt: Math.round(now - known.reportedAt),
    }));
  }

  #describe(known: KnownSidecar, programId: string): SidecarCandidate {
    const { report } = known;
    const { sidecarId, bootId, address } = report;
    return {
      sidecarId,
      failureDomain: report.failureDomain,
      ownCalls: known.ownCalls,
      otherCalls: known.otherCalls,
      slots: report.slots,
      queueLimit: report.queueLimit,
      stepMilliseconds: report.stepMilliseconds,
      cachedTokens: this.cache.findTokens(sidecarId, programId),
      target: { sidecarId, bootId, address },
    };
  }
}

function canServe(report: SidecarReport, body: CallBody): boolean {
  if (body.kind === "service") {
    return report.type === "service" && report.service === body.service;
  }
  return report.type === "model" && report.models.includes(body.model);
}

/** Tracks the state of sidecars from their reports. */

import type { CallBody, SidecarReport, SidecarStatus } from "@mallowlift/core";
import type { PlacementCandidate } from "@mallowlift/scheduling";
import type { PeerClient, PeerLinks } from "@mallowlift/transport";
import type { AttemptTarget } from "@mallowlift/programs";
import { CacheRecords } from "./cache_records.ts";

/** A sidecar that is a candidate for one call. */
export interface SidecarCandidate extends PlacementCandidate {
  readonly target: AttemptTarget;
}

interface SidecarState {
  report: SidecarReport;
  reportedAt: number;
  /** Attempts of this replica that are in flight. */
  ownCalls: number;
  /** Calls of other replicas at the time of the last report. */
  otherCalls: number;
}

/** The known sidecars by id. */
export class SidecarDirectory {
  readonly cache = new CacheRecords();
  readonly #links: PeerLinks;
  readonly #reportTimeoutMilliseconds: number;
  readonly #sidecars = new Map<string, SidecarState>();

  constructor(links: PeerLinks, reportTimeoutMilliseconds: number) {
    this.#links = links;
    this.#reportTimeoutMilliseconds = reportTimeoutMilliseconds;
  }

  /**
   * Applies a report. A changed boot id means that the sidecar has restarted,
   * so its cache records are removed.
   */
  applyReport(report: SidecarReport, now: number): void {
    const known = this.#sidecars.get(report.sidecarId);
    if (known !== undefined && known.report.bootId !== report.bootId) {
      this.cache.removeSidecar(report.sidecarId);
    }
    const ownCalls = known?.ownCalls ?? 0;
    // Calls in the report that this replica did not send belong to others.
    const otherCalls = Math.max(0, report.running + report.queued - ownCalls);
    this.#sidecars.set(report.sidecarId, {
      report,
      reportedAt: now,
      ownCalls,
      otherCalls,
    });
    for (const change of report.cacheChanges) {
      this.cache.recordTokens(
        report.sidecarId,
        change.programId,
        change.tokens,
      );
    }
  }

  /**
   * Lists the sidecars that can serve a call, have reported recently and are
   * not draining.
   */
  listCandidates(
    body: CallBody,
    programId: string,
    now: number,
  ): readonly SidecarCandidate[] {
    const candidates: SidecarCandidate[] = [];
    for (const known of this.#sidecars.values()) {
      if (now - known.reportedAt > this.#reportTimeoutMilliseconds) continue;
      if (known.report.draining || !canServe(known.report, body)) continue;
      candidates.push(this.#createCandidate(known, programId));
    }
    return candidates;
  }

  /**
   * Lists the addresses of sidecars whose engines may have cached a program.
   */
  listCacheAddresses(programId: string): readonly string[] {
    const addresses: string[] = [];
    for (const sidecarId of this.cache.listSidecars(programId)) {
      const known = this.#sidecars.get(sidecarId);
      if (known !== undefined) addresses.push(known.report.address);
    }
    return addresses;
  }

  /**
   * Changes the number of this replica's attempts in flight: 1 when one is
   * sent, -1 when one ends.
   */
  adjustOwnCalls(sidecarId: string, change: number): void {
    const known = this.#sidecars.get(sidecarId);
    if (known === undefined) return;
    known.ownCalls = Math.max(0, known.ownCalls + change);
  }

  /** Returns the transport client of a sidecar. */
  getClient(address: string): PeerClient {
    return this.#links.get(address);
  }

  /** Lists the status of all sidecars for operators. */
  listStatuses(now: number): readonly SidecarStatus[] {
    return [...this.#sidecars.values()].map((known) => ({
      report: known.report,
      lastReportAt: Math.round(now - known.reportedAt),
    }));
  }

  #createCandidate(known: SidecarState, programId: string): SidecarCandidate {
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
      cachedTokens: this.cache.getTokens(sidecarId, programId),
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

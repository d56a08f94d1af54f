/** Sidecars and what they report. */

/** A sidecar's report to the replicas. */
export interface SidecarReport {
  readonly sidecarId: string;
  /** New at each start of the process. */
  readonly bootId: string;
  /** Where the sidecar listens, host:port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly type: "model" | "service";
  readonly service: string;
  /** Models that the engine has loaded. */
  readonly models: readonly string[];
  readonly draining: boolean;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly queueLimit: number;
  /** Milliseconds one decoding step takes, smoothed. */
  readonly stepMilliseconds: number;
  /** Programs with cached tokens that changed since the last report. */
  readonly cacheChanges: readonly CacheChange[];
  /** Revision of the configuration in force. */
  readonly revision: number;
}

/** Cached prompt tokens of one program on one engine. */
export interface CacheChange {
  readonly programId: string;
  readonly tokens: number;
}

/** A sidecar as a replica knows it. */
export interface SidecarStatus {
  readonly report: SidecarReport;
  readonly lastReportAt: number;
}

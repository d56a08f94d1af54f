/** Sidecars and their reports. */

/** Periodic report of a sidecar to the replicas. */
export interface SidecarReport {
  readonly sidecarId: string;
  /** Id that changes at each start of the process. */
  readonly bootId: string;
  /** Address that the sidecar listens on, host:port. */
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
  /** Smoothed duration of a decoding step, ms. */
  readonly stepMilliseconds: number;
  /** Programs whose cached tokens changed since the last report. */
  readonly cacheChanges: readonly CacheChange[];
  /** Revision of the configuration that the sidecar applies. */
  readonly revision: number;
}

/** Number of prompt tokens of a program that the engine has cached. */
export interface CacheChange {
  readonly programId: string;
  readonly tokens: number;
}

/** The last report of a sidecar, as a replica stores it. */
export interface SidecarStatus {
  readonly report: SidecarReport;
  /** Age of the report, ms; not a time, despite the name. */
  readonly lastReportAt: number;
}

/** Messages that grant permits to send requests under workspace quotas. */

/** Quota of a workspace, from the routing document of the requester. */
export interface QuotaLimit {
  readonly workspace: string;
  /** Version of the document; the quota of the highest version applies. */
  readonly version: number;
  /** Maximum number of requests in any window of `spanMilliseconds`. */
  readonly most: number;
  readonly spanMilliseconds: number;
}

/** Requests permits to send requests of a workspace. */
export interface QuotaCharge extends QuotaLimit {
  /** Permits for requests that are waiting. */
  readonly needed: number;
  /** Additional permits, granted while usage is not close to the quota. */
  readonly spare: number;
}

/** Reply to a {@linkcode QuotaCharge}. */
export interface QuotaGrant {
  readonly granted: number;
  /**
   * Time until the next permit is available, ms; 0 if all needed were granted.
   */
  readonly retryAfterMilliseconds: number;
}

/** Requests permits for several workspaces. */
export interface TakePermits {
  /** Identifies the request among all requests of its daemon. */
  readonly id: string;
  readonly charges: readonly QuotaCharge[];
}

/** Reply to {@linkcode TakePermits}, in the order of the charges. */
export interface TakePermitsReply {
  readonly grants: readonly QuotaGrant[];
}

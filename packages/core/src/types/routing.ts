/** The routing document, which operators replace as a whole, and its parts. */

/** Whether the requests of a route may be repeated. */
export const ROUTE_KINDS = {
  /** May run more than once. */
  IDEMPOTENT: "idempotent",
  /** Runs at most once per attempt of the caller. */
  ONCE: "once",
  /**
   * Answers with a stream of events; runs at most once unless it is resumable.
   */
  STREAM: "stream",
} as const;

/** One of {@linkcode ROUTE_KINDS}. */
export type RouteKind = typeof ROUTE_KINDS[keyof typeof ROUTE_KINDS];

/** A service that receives a share of a route's requests, by weight. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Routes the requests for a host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /**
   * Maximum time from the arrival of a request to the end of its answer; a
   * caller may set a shorter one.
   */
  readonly timeoutMilliseconds: number;
  /** Target latency of an answer; 0 if there is none. */
  readonly targetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of upstreams tried for one attempt of the caller. */
  readonly maxAttempts: number;
  /**
   * True if a turn sends only its new input, because the site keeps the
   * history.
   */
  readonly keepsHistory: boolean;
  readonly retentionMilliseconds: number;
  /**
   * True if a broken stream may be resumed at another upstream after the last
   * event that the caller received; defaults to false.
   */
  readonly isResumable?: boolean;
  /** True if upstreams answer faster for objects that they served recently. */
  readonly prefersSameUpstream: boolean;
  /** True if callers need no key; defaults to false. */
  readonly isPublic?: boolean;
}

/** A group of interchangeable upstreams. */
export interface Service {
  readonly name: string;
  /** Maximum number of connections to one upstream from all gateways together. */
  readonly maxConnections: number;
  /** Tokens that are counted for each event of a stream. */
  readonly tokensPerEvent: number;
  /** True if the upstreams are model engines. */
  readonly isEngine: boolean;
}

/** A tenant: callers that share keys, a priority, a quota and programs. */
export interface Workspace {
  readonly name: string;
  /** SHA-256 of each key, lowercase hexadecimal; the keys are not stored. */
  readonly keyDigests: readonly string[];
  /** Overrides the priority of a route; 0 is the most urgent. */
  readonly priority?: number;
  /** Maximum requests per second over all gateways together; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Requests beyond the rate that are accepted in a burst. */
  readonly burst: number;
}

/** Limits on the requests of callers. */
export interface RoutingLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** The complete routing document. */
export interface RoutingDocument {
  /**
   * The highest version is in force; the content of a version never changes.
   */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: RoutingLimits;
  /** Without workspaces callers need no key; missing in earlier releases. */
  readonly workspaces?: readonly Workspace[];
}

/** An upstream in the instance list. */
export interface UpstreamInstance {
  /** Id that changes at each start of the upstream. */
  readonly id: string;
  /**
   * Id that the upstream uses for itself, which may stay the same over
   * restarts; equal to `id` if missing.
   */
  readonly ownId?: string;
  /** Start time by the upstream's own clock, Unix ms; missing if unknown. */
  readonly bornAt?: number;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it processes concurrently. */
  readonly slots: number;
  /** True if it is about to stop and must get no new work. */
  readonly leaving: boolean;
}

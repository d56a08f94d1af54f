/** Converts the quota of a workspace into a bound on the permits that it gets. */

import type { QuotaLimit, Workspace } from "@mallowlift/core";

/** Shortest and longest lifetime of a permit, ms. */
const PERMIT_LIFETIME_MILLISECONDS = { min: 250, max: 500 };
/** Fraction of the slack that is kept as a safety margin. */
const SLACK_MARGIN_FRACTION = 0.5;

/** Quota terms that hold for all workspaces. */
export interface QuotaTerms {
  /** Length of the window in which requests are counted. */
  readonly windowSeconds: number;
  /** Fraction of its quota by which a workspace may exceed it within a window. */
  readonly overage: number;
  /** Number of requests by which a workspace may exceed its quota in addition. */
  readonly slack: number;
}

/** The bound of a workspace and the lifetime of its permits. */
export interface WorkspaceQuota {
  readonly bound: QuotaLimit;
  /** Lifetime of a permit, counted from when it was requested, ms. */
  readonly permitLifetimeMilliseconds: number;
}

/**
 * Finds the bound of a workspace; undefined if it has no quota.
 *
 * A request is sent at most one permit lifetime after it was counted. The bound
 * therefore covers a span of the window plus one lifetime, so that it also holds
 * for the requests sent within any window. A longer span makes a steady load
 * reach the bound sooner. The lifetime is therefore the longest at which a load
 * at exactly the rate still fits within the bound, limited to the range of
 * `PERMIT_LIFETIME_MILLISECONDS`.
 *
 * @example
 * ```ts
 * const workspace = { name: "north", keyDigests: [], ratePerSecond: 10, burst: 10 };
 * const terms = { windowSeconds: 5, overage: 0.1, slack: 20 };
 * findWorkspaceQuota(workspace, { version: 7, terms })?.bound.most; // 76
 * ```
 */
export function findWorkspaceQuota(
  workspace: Workspace,
  options: { readonly version: number; readonly terms: QuotaTerms },
): WorkspaceQuota | undefined {
  const { name, ratePerSecond, burst } = workspace;
  if (ratePerSecond <= 0) return undefined;
  const { windowSeconds, overage, slack } = options.terms;
  const quota = ratePerSecond * windowSeconds + burst;
  const allowed = quota * (1 + overage) + slack * (1 - SLACK_MARGIN_FRACTION);
  const most = Math.max(1, Math.floor(allowed));
  const { min, max } = PERMIT_LIFETIME_MILLISECONDS;
  const coveredMilliseconds = 1_000 * (most / ratePerSecond - windowSeconds);
  const permitLifetimeMilliseconds = Math.round(
    Math.min(max, Math.max(min, coveredMilliseconds)),
  );
  return {
    permitLifetimeMilliseconds,
    bound: {
      workspace: name,
      version: options.version,
      most,
      spanMilliseconds: windowSeconds * 1_000 + permitLifetimeMilliseconds,
    },
  };
}

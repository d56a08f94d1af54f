/**
 * Policies for spare permits, which a gateway obtains before the requests that
 * will use them arrive.
 */

import type { WorkspaceQuota } from "./quota_bound.ts";

/**
 * Decides how many spare permits to request, from the recent requests of each
 * workspace at this gateway.
 */
export interface SparePolicy {
  /** Records a request. */
  recordRequest(quota: WorkspaceQuota, now: number): void;
  /** Number of permits to request beyond those needed now. */
  findSpare(quota: WorkspaceQuota, now: number): number;
}

/** Requests no spare permits: each request is charged when it arrives. */
export class NoSparePolicy implements SparePolicy {
  /** Does nothing. */
  recordRequest(): void {}

  /** Always 0. */
  findSpare(): number {
    return 0;
  }
}

/** Time constant of the demand average, ms: several pauses between two turns. */
const DEMAND_DECAY_MILLISECONDS = 2_000;

interface Demand {
  /** Number of requests, decayed exponentially by their age. */
  weight: number;
  /** Time of the last request, ms. */
  at: number;
}

/** Requests as many spare permits as are expected to be used while valid. */
export class DemandSparePolicy implements SparePolicy {
  readonly #demands = new Map<string, Demand>();

  /** Adds a request to the demand of its workspace. */
  recordRequest(quota: WorkspaceQuota, now: number): void {
    const { workspace } = quota.bound;
    const weight = this.#findWeight(workspace, now) + 1;
    this.#demands.set(workspace, { weight, at: now });
  }

  /** The recent demand, scaled to the lifetime of a permit. */
  findSpare(quota: WorkspaceQuota, now: number): number {
    const weight = this.#findWeight(quota.bound.workspace, now);
    return Math.round(
      weight * quota.permitLifetimeMilliseconds / DEMAND_DECAY_MILLISECONDS,
    );
  }

  #findWeight(workspace: string, now: number): number {
    const demand = this.#demands.get(workspace);
    if (demand === undefined) return 0;
    return demand.weight *
      Math.exp((demand.at - now) / DEMAND_DECAY_MILLISECONDS);
  }
}

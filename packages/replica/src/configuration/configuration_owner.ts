/**
 * Serves the configuration while this replica leads the configuration group.
 */

import { performance } from "node:perf_hooks";
import type { ConfigurationState } from "@mallowlift/configuration";
import type { Lease } from "@mallowlift/configuration";
import type {
  LeadershipListener,
  ReplicatedGroup,
} from "@mallowlift/consensus";
import {
  type ConfigurationPoll,
  type ConfigurationUpdate,
  fail,
  type FollowerStatus,
  type LeaseReply,
  type LeaseRequest,
  type OrderResult,
  type Outcome,
  type ResourceOrder,
  RESULT_CODES,
  WakeSignal,
} from "@mallowlift/core";
import { Ok } from "ts-results";

/** Daemons that have not polled for this long are no longer listed. */
const FOLLOWER_EXPIRY_MILLISECONDS = 60_000;
/**
 * Another holder gets a lease only when the lease has expired and a margin of
 * a quarter of its duration has passed.
 */
const LEASE_MARGIN_DIVISOR = 4;

interface Follower {
  revision: number;
  polledAt: number;
}

/** Dependencies of a configuration owner. */
export interface ConfigurationOwnerOptions {
  readonly state: ConfigurationState;
  readonly getGroup: () => ReplicatedGroup | undefined;
}

/** Serves polls, orders and leases. */
export class ConfigurationOwner implements LeadershipListener {
  readonly #options: ConfigurationOwnerOptions;
  readonly #followers = new Map<string, Follower>();
  readonly #changed = new WakeSignal();
  /**
   * When each lease was last known to be in use, by upstream; monotonic clock,
   * ms.
   */
  readonly #leaseUsedAt = new Map<string, number>();
  #leadingSince = 0;

  constructor(options: ConfigurationOwnerOptions) {
    this.#options = options;
  }

  /**
   * Starts to serve as the leader. Leases of an earlier leader may still be in
   * use, so all leases count as used until now.
   */
  onLeading(): void {
    this.#leadingSince = performance.now();
    this.#leaseUsedAt.clear();
    this.#changed.wake();
  }

  /** Stops serving. The daemons find the next leader themselves. */
  onFollowing(): void {
    this.#followers.clear();
    this.#changed.wake();
  }

  /**
   * Answers a poll immediately if the revision has changed. Otherwise holds the
   * poll until the next change, for at most the requested time and never longer
   * than 10 s.
   */
  async poll(
    request: ConfigurationPoll,
    now: number,
  ): Promise<Outcome<ConfigurationUpdate>> {
    const { state } = this.#options;
    const group = this.#options.getGroup();
    if (group === undefined || !group.isLeading) return this.#refuseNotLeader();
    this.#followers.set(request.daemonId, {
      revision: request.revision,
      polledAt: now,
    });
    const holdMilliseconds = Math.min(request.holdMilliseconds, 10_000);
    if (request.revision === state.revision && holdMilliseconds > 0) {
      await this.#changed.wait(holdMilliseconds);
    }
    const confirmed = await group.confirmLeadership();
    if (confirmed.err) return confirmed;
    return Ok(this.#createUpdate(request.revision));
  }

  /** Executes an order of an operator. */
  async order(order: ResourceOrder): Promise<Outcome<OrderResult>> {
    const group = this.#options.getGroup();
    if (group === undefined) return this.#refuseNotLeader();
    const applied = await group.propose({ type: "order", order });
    if (applied.err) return applied;
    this.#changed.wake();
    return applied.val.result as Outcome<OrderResult>;
  }

  /** Grants or renews the lease on the orders to one upstream. */
  async lease(
    request: LeaseRequest,
    now: number,
  ): Promise<Outcome<LeaseReply>> {
    const group = this.#options.getGroup();
    if (group === undefined || !group.isLeading) return this.#refuseNotLeader();
    const known = this.#options.state.findLease(request.upstream);
    if (known?.holder === request.holder) {
      return await this.#renew(group, known, now);
    }
    const wait = known === undefined ? 0 : this.#findLeaseWait(request, now);
    if (wait > 0) {
      return Ok({ granted: false, fencingNumber: 0, waitMilliseconds: wait });
    }
    const { upstream, holder } = request;
    const applied = await group.propose({ type: "lease", upstream, holder });
    if (applied.err) return applied;
    const lease = applied.val.result as Lease;
    this.#leaseUsedAt.set(upstream, now);
    return Ok({
      granted: true,
      fencingNumber: lease.fencingNumber,
      waitMilliseconds: 0,
    });
  }

  /** Lists the daemons that follow the configuration, with their revisions. */
  listFollowers(now: number): readonly FollowerStatus[] {
    const statuses: FollowerStatus[] = [];
    for (const [daemonId, follower] of this.#followers) {
      const silentMilliseconds = Math.round(now - follower.polledAt);
      if (silentMilliseconds > FOLLOWER_EXPIRY_MILLISECONDS) continue;
      statuses.push({
        daemonId,
        revision: follower.revision,
        silentMilliseconds,
      });
    }
    return statuses;
  }

  async #renew(
    group: ReplicatedGroup,
    lease: Lease,
    now: number,
  ): Promise<Outcome<LeaseReply>> {
    // Recorded before the reply. The holder measures the lease from before its
    // request, so for the holder it ends no later than this leader assumes.
    this.#leaseUsedAt.set(lease.upstream, now);
    const confirmed = await group.confirmLeadership();
    if (confirmed.err) return confirmed;
    const current = this.#options.state.findLease(lease.upstream);
    if (current?.fencingNumber !== lease.fencingNumber) {
      return Ok({ granted: false, fencingNumber: 0, waitMilliseconds: 0 });
    }
    return Ok({
      granted: true,
      fencingNumber: lease.fencingNumber,
      waitMilliseconds: 0,
    });
  }

  #findLeaseWait(request: LeaseRequest, now: number): number {
    const usedAt = Math.max(
      this.#leadingSince,
      this.#leaseUsedAt.get(request.upstream) ?? -Infinity,
    );
    const margin = request.durationMilliseconds / LEASE_MARGIN_DIVISOR;
    return Math.max(0, usedAt + request.durationMilliseconds + margin - now);
  }

  #createUpdate(revision: number): ConfigurationUpdate {
    const { state } = this.#options;
    const changes = revision < 0 ? undefined : state.findChanges(revision);
    if (changes !== undefined) {
      return { revision: state.revision, whole: false, resources: [], changes };
    }
    return {
      revision: state.revision,
      whole: true,
      resources: state.resources,
      changes: [],
    };
  }

  #refuseNotLeader() {
    return fail(
      RESULT_CODES.NOT_LEADER,
      "This replica does not lead the configuration group",
    );
  }
}

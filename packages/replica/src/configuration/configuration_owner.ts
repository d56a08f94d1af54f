/** Serves the configuration while this replica leads its group. */

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

const FORGET_FOLLOWER_MILLISECONDS = 60_000;
const LEASE_MARGIN_SHARE = 4;

interface Follower {
  revision: number;
  polledAt: number;
}

/** What the owner needs. */
export interface ConfigurationOwnerOptions {
  readonly state: ConfigurationState;
  readonly getGroup: () => ReplicatedGroup | undefined;
}

/** Serves polls, orders and leases. */
export class ConfigurationOwner implements LeadershipListener {
  readonly #options: ConfigurationOwnerOptions;
  readonly #followers = new Map<string, Follower>();
  readonly #changed = new WakeSignal();
  /** When each lease was last known to be in use, by the monotonic clock. */
  readonly #leaseUsedAt = new Map<string, number>();
  #leadingSince = 0;

  constructor(options: ConfigurationOwnerOptions) {
    this.#options = options;
  }

  /** Leases given by an earlier leader may still be in use. */
  onLeading(): void {
    this.#leadingSince = performance.now();
    this.#leaseUsedAt.clear();
    this.#changed.wake();
  }

  /** Followers find the next leader by themselves. */
  onFollowing(): void {
    this.#followers.clear();
    this.#changed.wake();
  }

  /** Answers a poll: at once if something changed, else after the hold. */
  async poll(
    request: ConfigurationPoll,
    now: number,
  ): Promise<Outcome<ConfigurationUpdate>> {
    const { state } = this.#options;
    const group = this.#options.getGroup();
    if (group === undefined || !group.isLeading) return this.#refuse();
    this.#followers.set(request.daemonId, {
      revision: request.revision,
      polledAt: now,
    });
    const hold = Math.min(request.holdMilliseconds, 10_000);
    if (request.revision === state.revision && hold > 0) {
      await this.#changed.wait(hold);
    }
    const confirmed = await group.confirmLeadership();
    if (confirmed.err) return confirmed;
    return Ok(this.#describeUpdate(request.revision));
  }

  /** Carries out an order of an operator. */
  async order(order: ResourceOrder): Promise<Outcome<OrderResult>> {
    const group = this.#options.getGroup();
    if (group === undefined) return this.#refuse();
    const applied = await group.propose({ type: "order", order });
    if (applied.err) return applied;
    this.#changed.wake();
    return applied.val.result as Outcome<OrderResult>;
  }

  /** Gives or renews the lease on the orders to one upstream. */
  async lease(
    request: LeaseRequest,
    now: number,
  ): Promise<Outcome<LeaseReply>> {
    const group = this.#options.getGroup();
    if (group === undefined || !group.isLeading) return this.#refuse();
    const known = this.#options.state.findLease(request.upstream);
    if (known?.holder === request.holder) {
      return await this.#renew(group, known, now);
    }
    const wait = known === undefined ? 0 : this.#findWait(request, now);
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

  /** Daemons that follow the configuration, with the revision in force there. */
  describeFollowers(now: number): readonly FollowerStatus[] {
    const described: FollowerStatus[] = [];
    for (const [daemonId, follower] of this.#followers) {
      const silentMilliseconds = Math.round(now - follower.polledAt);
      if (silentMilliseconds > FORGET_FOLLOWER_MILLISECONDS) continue;
      described.push({
        daemonId,
        revision: follower.revision,
        silentMilliseconds,
      });
    }
    return described;
  }

  async #renew(
    group: ReplicatedGroup,
    lease: Lease,
    now: number,
  ): Promise<Outcome<LeaseReply>> {
    // Noted before the answer: the holder counts from before its request.
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

  #findWait(request: LeaseRequest, now: number): number {
    const usedAt = Math.max(
      this.#leadingSince,
      this.#leaseUsedAt.get(request.upstream) ?? -Infinity,
    );
    const margin = request.durationMilliseconds / LEASE_MARGIN_SHARE;
    return Math.max(0, usedAt + request.durationMilliseconds + margin - now);
  }

  #describeUpdate(revision: number): ConfigurationUpdate {
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

  #refuse() {
    return fail(
      RESULT_CODES.NOT_LEADER,
      "This replica does not lead the configuration",
    );
  }
}

/**
 * Obtains permits from the leader to send requests under the quotas of
 * workspaces. Requests that arrive while a message to the leader is in flight
 * are batched into the next one.
 */

import {
  type CodedError,
  countRefusal,
  createDeferred,
  type Deferred,
  fail,
  type Metrics,
  type Outcome,
  type QuotaCharge,
  type QuotaGrant,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { SiteClient } from "../site/site_client.ts";
import type { WorkspaceQuota } from "./quota_bound.ts";
import type { SparePolicy } from "./spare_policy.ts";

/** Timeout of one message to the leader, after which it is retried, ms. */
const REQUEST_TIMEOUT_MILLISECONDS = 400;
/** Delay before a retry after a failed message, ms: several round trips. */
const RETRY_DELAY_MILLISECONDS = 30;
/** Refusal while there is no leader; its retry delay is about the time of an election. */
const NO_LEADER: CodedError = {
  code: RESULT_CODES.NO_QUORUM,
  message: RESULT_CODES.NO_QUORUM.meaning,
  retryAfterMilliseconds: 800,
};
const NO_GRANT: QuotaGrant = { granted: 0, retryAfterMilliseconds: 0 };
/** Largest random extension of a retry delay, as a fraction of it. */
const RETRY_JITTER_FRACTION = 0.5;

/** Options of a {@linkcode PermitPool}. */
export interface PermitPoolOptions {
  /** Unique name of this gateway process; prefixes the ids of its messages. */
  readonly name: string;
  readonly client: Pick<SiteClient, "call">;
  readonly policy: SparePolicy;
  /** The local clock, ms. */
  readonly clock: () => number;
  /** Resolves after a duration by that clock, ms. */
  readonly sleep: (milliseconds: number) => Promise<void>;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
  readonly metrics: Metrics;
}

interface SparePermits {
  readonly validUntil: number;
  count: number;
}

interface Waiter {
  readonly quota: WorkspaceQuota;
  readonly until: number;
  readonly done: Deferred<Outcome<number>>;
}

/** Hands out permits to requests and obtains them from the leader. */
export class PermitPool {
  readonly #options: PermitPoolOptions;
  readonly #spares = new Map<string, SparePermits[]>();
  #waiting: Waiter[] = [];
  #isRequesting = false;
  #requestCount = 0;

  constructor(options: PermitPoolOptions) {
    this.#options = options;
  }

  /**
   * Takes a permit for one request.
   *
   * @returns until when the permit is valid, by the local clock, ms
   */
  async take(
    quota: WorkspaceQuota,
    times: { readonly now: number; readonly limitMilliseconds: number },
  ): Promise<Outcome<number>> {
    const { now, limitMilliseconds } = times;
    this.#options.policy.recordRequest(quota, now);
    const spare = this.#takeSpare(quota.bound.workspace, now);
    if (spare !== undefined) return Ok(spare);
    const done = createDeferred<Outcome<number>>();
    this.#waiting.push({ quota, until: now + limitMilliseconds, done });
    if (!this.#isRequesting) void this.#drainQueue();
    return await done.promise;
  }

  /**
   * Spare permits to request with another message to the leader, so that the
   * next requests need no message of their own; undefined if the pool has enough.
   */
  planSpare(quota: WorkspaceQuota, now: number): QuotaCharge | undefined {
    const wanted = this.#options.policy.findSpare(quota, now);
    const spare = wanted - this.#countSpare(quota.bound.workspace, now);
    return spare > 0 ? { ...quota.bound, needed: 0, spare } : undefined;
  }

  /** Adds spare permits for later requests. */
  add(
    quota: WorkspaceQuota,
    details: { readonly count: number; readonly requestedAt: number },
  ): void {
    const { count, requestedAt } = details;
    if (count === 0) return;
    const { workspace } = quota.bound;
    const spares = this.#spares.get(workspace) ?? [];
    spares.push({
      validUntil: requestedAt + quota.permitLifetimeMilliseconds,
      count,
    });
    this.#spares.set(workspace, spares);
  }

  #countSpare(workspace: string, now: number): number {
    let sum = 0;
    for (const { validUntil, count } of this.#spares.get(workspace) ?? []) {
      if (validUntil > now) sum += count;
    }
    return sum;
  }

  #takeSpare(workspace: string, now: number): number | undefined {
    const spares = this.#spares.get(workspace);
    while (spares !== undefined && spares.length > 0) {
      const [oldest] = spares;
      if (oldest === undefined) break;
      if (oldest.count > 0 && oldest.validUntil > now) {
        oldest.count--;
        return oldest.validUntil;
      }
      spares.shift();
    }
    this.#spares.delete(workspace);
    return undefined;
  }

  async #drainQueue(): Promise<void> {
    this.#isRequesting = true;
    while (this.#waiting.length > 0) {
      const waiters = this.#waiting;
      this.#waiting = [];
      await this.#requestPermits(groupByWorkspace(waiters));
    }
    this.#isRequesting = false;
  }

  async #requestPermits(groups: readonly (readonly Waiter[])[]): Promise<void> {
    const { client, name, clock } = this.#options;
    const requestedAt = clock();
    const reply = await client.call("quota.take", {
      id: `${name} ${++this.#requestCount}`,
      charges: groups.map((group) => this.#describeCharge(group, requestedAt)),
    }, REQUEST_TIMEOUT_MILLISECONDS);
    if (reply.err) return await this.#handleFailure(groups.flat(), reply.val);
    for (const [index, group] of groups.entries()) {
      const grant = reply.val.grants[index] ?? NO_GRANT;
      this.#distribute(group, grant, requestedAt);
    }
  }

  #describeCharge(group: readonly Waiter[], now: number): QuotaCharge {
    const [first] = group;
    if (first === undefined) throw new Error("The group has no waiter");
    const { quota } = first;
    return {
      ...quota.bound,
      needed: group.length,
      spare: this.#options.policy.findSpare(quota, now),
    };
  }

  /** Retries for waiters that have time left, unless the leader has refused. */
  async #handleFailure(
    waiters: readonly Waiter[],
    error: CodedError,
  ): Promise<void> {
    const isRefused = error.code === RESULT_CODES.LEADER_BUSY;
    const now = this.#options.clock();
    for (const waiter of waiters) {
      if (isRefused) waiter.done.resolve(this.#refuseWith(error));
      else if (waiter.until > now) this.#waiting.push(waiter);
      else waiter.done.resolve(this.#refuseWith(NO_LEADER));
    }
    if (!isRefused) await this.#options.sleep(RETRY_DELAY_MILLISECONDS);
  }

  #distribute(
    group: readonly Waiter[],
    grant: QuotaGrant,
    requestedAt: number,
  ): void {
    let remaining = grant.granted;
    for (const { quota, done } of group) {
      const validUntil = requestedAt + quota.permitLifetimeMilliseconds;
      if (remaining > 0) done.resolve(Ok(validUntil));
      else done.resolve(this.refuseForQuota(grant.retryAfterMilliseconds));
      remaining--;
    }
    const [first] = group;
    if (remaining > 0 && first !== undefined) {
      this.add(first.quota, { count: remaining, requestedAt });
    }
  }

  /**
   * Refuses a request that exceeds its quota. The retry delay is extended at
   * random, so that callers do not all retry at once.
   */
  refuseForQuota(retryAfterMilliseconds: number): ReturnType<typeof fail> {
    const { random, metrics } = this.#options;
    countRefusal(metrics, "quotas", RESULT_CODES.QUOTA_EXCEEDED);
    const pause = retryAfterMilliseconds *
      (1 + RETRY_JITTER_FRACTION * random());
    return fail(
      RESULT_CODES.QUOTA_EXCEEDED,
      RESULT_CODES.QUOTA_EXCEEDED.meaning,
      Math.round(pause),
    );
  }

  #refuseWith(error: CodedError): ReturnType<typeof fail> {
    const { code, message, retryAfterMilliseconds } = error;
    countRefusal(this.#options.metrics, "quotas", code);
    return fail(code, message, retryAfterMilliseconds);
  }
}

function groupByWorkspace(
  waiters: readonly Waiter[],
): readonly (readonly Waiter[])[] {
  const groups = new Map<string, Waiter[]>();
  for (const waiter of waiters) {
    const { workspace } = waiter.quota.bound;
    const group = groups.get(workspace);
    if (group === undefined) groups.set(workspace, [waiter]);
    else group.push(waiter);
  }
  return [...groups.values()];
}

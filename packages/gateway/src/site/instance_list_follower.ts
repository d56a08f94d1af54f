/**
 * Keeps the gateway's upstreams up to date with the newest instance list that a
 * store has.
 */

import { performance } from "node:perf_hooks";
import {
  ABORTED,
  type Child,
  hashText,
  type InstanceListReply,
  type InstanceUpdate,
  type Logger,
  type Metrics,
  sleep,
  toCodedError,
} from "@mallowlift/core";
import {
  applyUpdate,
  type InstancesById,
  unpackUpdate,
} from "@mallowlift/sessions";
import type { UpstreamTable } from "../upstreams/upstream_table.ts";
import type { SiteClient } from "./site_client.ts";

/** Timeout of a request to a store, which may have to read the list first. */
const STORE_TIMEOUT_MILLISECONDS = 400;
/**
 * Number of stores that are queried concurrently, so that an unreachable store
 * causes no delay.
 */
const STORES_AT_ONCE = 2;
/** Delay after a round in which no store had a fresh list. */
const RETRY_MILLISECONDS = 200;

/** Options of {@linkcode InstanceListFollower}. */
export interface InstanceListFollowerOptions {
  readonly client: Pick<SiteClient, "callStore" | "listStores">;
  readonly upstreams: Pick<UpstreamTable, "update">;
  /** Age from which the list is requested from any store, ms. */
  readonly staleMilliseconds: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Applies the instance list from the leader's replies, and queries other stores
 * once the list is stale. It never returns to a list that was read earlier.
 *
 * @example
 * ```ts
 * const lists = new InstanceListFollower(options);
 * await lists.start();
 * lists.apply({ listAgeMilliseconds: 40, list }, performance.now());
 * lists.findAge(performance.now()); // 40
 * ```
 */
export class InstanceListFollower implements Child {
  readonly name = "instances";
  readonly #options: InstanceListFollowerOptions;
  readonly #stopped = new AbortController();
  #revision = "";
  #instances: InstancesById = new Map();
  #readAt = -Infinity;
  #isStale = false;

  constructor(options: InstanceListFollowerOptions) {
    this.#options = options;
  }

  /** Revision of the list in force; empty before the first. */
  get revision(): string {
    return this.#revision;
  }

  /** Time since a store read the list in force, ms; Infinity without a list. */
  findAge(now: number): number {
    return now - this.#readAt;
  }

  /**
   * Applies a store's reply unless its list was read earlier than the one in
   * force.
   */
  apply(reply: InstanceListReply, now: number): void {
    const { listAgeMilliseconds } = reply;
    const readAt = now - listAgeMilliseconds;
    if (listAgeMilliseconds < 0 || readAt < this.#readAt) return;
    const update = this.#readUpdate(reply);
    const revision = update?.revision ?? reply.listRevision ?? this.#revision;
    if (update !== undefined && !this.#isApplicable(update)) return;
    if (update === undefined && revision !== this.#revision) return;
    this.#readAt = readAt;
    this.#options.metrics.instanceListReadAt.set(
      (performance.timeOrigin + readAt) / 1_000,
    );
    if (update === undefined) return;
    this.#revision = revision;
    this.#instances = applyUpdate(this.#instances, update);
    this.#options.upstreams.update([...this.#instances.values()]);
    this.#options.logger.info("Instance list in force", {
      revision,
      instances: this.#instances.size,
      changed: update.changed.length,
      age_ms: Math.round(listAgeMilliseconds),
    });
  }

  #isApplicable({ base }: InstanceUpdate): boolean {
    return base === "" || base === this.#revision;
  }

  #readUpdate({ update, list }: InstanceListReply): InstanceUpdate | undefined {
    if (list !== undefined) {
      const { revision, instances } = list;
      return { revision, base: "", changed: instances, removed: [] };
    }
    if (update === undefined) return undefined;
    try {
      return unpackUpdate(update);
    } catch (thrown) {
      const { message } = toCodedError(thrown);
      this.#options.logger.error("Instance list could not be unpacked", {
        message,
      });
      return undefined;
    }
  }

  /** Starts to monitor the age of the list. */
  start(): Promise<void> {
    void this.#run();
    return Promise.resolve();
  }

  /** Stops monitoring. */
  stop(): Promise<void> {
    this.#stopped.abort(ABORTED);
    return Promise.resolve();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopped;
    const { staleMilliseconds } = this.#options;
    await sleep(staleMilliseconds, signal);
    while (!signal.aborted) {
      const now = performance.now();
      const remaining = staleMilliseconds - this.findAge(now);
      this.#updateStaleness(remaining <= 0, now);
      if (remaining > 0) await sleep(remaining, signal);
      else if (!await this.#queryStores()) {
        await sleep(RETRY_MILLISECONDS, signal);
      }
    }
  }

  /**
   * Queries the stores in batches for a fresh list; returns false if none has
   * one.
   */
  async #queryStores(): Promise<boolean> {
    const stores = rankStores(this.#options.client.listStores());
    for (let first = 0; first < stores.length; first += STORES_AT_ONCE) {
      const batch = stores.slice(first, first + STORES_AT_ONCE);
      await Promise.all(batch.map((store) => this.#queryStore(store)));
      const age = this.findAge(performance.now());
      if (age < this.#options.staleMilliseconds) return true;
      if (this.#stopped.signal.aborted) return false;
    }
    return false;
  }

  async #queryStore(store: string): Promise<void> {
    const { client, metrics, staleMilliseconds } = this.#options;
    const reply = await client.callStore(store, "instances.read", {
      request: {
        revision: this.#revision,
        maxAgeMilliseconds: staleMilliseconds / 2,
      },
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    metrics.instanceListReads.inc({
      outcome: reply.ok ? "OK" : reply.val.code.name,
    });
    if (reply.ok) this.apply(reply.val, performance.now());
  }

  #updateStaleness(isStale: boolean, now: number): void {
    if (isStale === this.#isStale) return;
    this.#isStale = isStale;
    const age = this.findAge(now);
    const fields = { age_ms: Number.isFinite(age) ? Math.round(age) : -1 };
    const { logger } = this.#options;
    if (isStale) logger.warn("Instance list stale", fields);
    else logger.info("Instance list fresh", fields);
  }
}

/**
 * Orders the stores by a hash of their names. Every gateway uses the same
 * order, so that few stores read the list for all gateways. An order by name
 * would often query all stores of one failure domain first.
 */
function rankStores(stores: readonly string[]): readonly string[] {
  const ranked = stores.map((store) => ({ store, rank: hashText(store) }));
  ranked.sort((left, right) => left.rank < right.rank ? -1 : 1);
  return ranked.map(({ store }) => store);
}

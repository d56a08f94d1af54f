/** Follows the configuration from any daemon, and knows how fresh it is. */

import { performance } from "node:perf_hooks";
import {
  ABORTED,
  type ConfigurationUpdate,
  type Logger,
  type Metrics,
  type Outcome,
  sleep,
  WakeSignal,
} from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";
import { ConfigurationView } from "./configuration_view.ts";

const RETRY_MILLISECONDS = 100;
const ANSWER_MILLISECONDS = 1_000;

/** What a follower needs. */
export interface FollowerOptions {
  readonly daemonId: string;
  readonly bootId: string;
  /** Links to all replicas. */
  readonly replicas: readonly Caller[];
  /** How long the leader may hold a poll when nothing changes. */
  readonly holdMilliseconds: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Polls the leader of the configuration group; one task. */
export class ConfigurationFollower {
  readonly view = new ConfigurationView();
  readonly #options: FollowerOptions;
  readonly #stopped = new AbortController();
  readonly #changed = new WakeSignal();
  #confirmedAt = -Infinity;
  #leader = 0;

  constructor(options: FollowerOptions) {
    this.#options = options;
  }

  /** Starts to follow; does not wait for the first answer. */
  start(): void {
    void this.#follow();
  }

  /** Stops to follow. */
  stop(): void {
    this.#stopped.abort(ABORTED);
  }

  /** True if the leader confirmed the view no longer ago than the limit. */
  isFresh(now: number, limitMilliseconds: number): boolean {
    return now - this.#confirmedAt <= limitMilliseconds;
  }

  /** Resolves at the next change, or after the limit. */
  async waitForChange(limitMilliseconds: number): Promise<void> {
    await this.#changed.wait(limitMilliseconds);
  }

  async #follow(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      // Freshness counts from the sending of the poll, not from its answer.
      const askedAt = performance.now();
      const update = await this.#poll();
      if (update.err) {
        this.#leader = (this.#leader + 1) % this.#options.replicas.length;
        await sleep(RETRY_MILLISECONDS, this.#stopped.signal);
        continue;
      }
      this.#takeUpdate(update.val);
      this.#confirmedAt = askedAt;
    }
  }

  #takeUpdate(update: ConfigurationUpdate): void {
    const before = this.view.revision;
    this.view.update(update);
    if (this.view.revision === before) return;
    this.#options.metrics.revision.set(this.view.revision);
    this.#options.logger.debug("Configuration in force", {
      revision: this.view.revision,
    });
    this.#changed.wake();
  }

  async #poll(): Promise<Outcome<ConfigurationUpdate>> {
    const { replicas, daemonId, bootId, holdMilliseconds } = this.#options;
    const replica = replicas[this.#leader % replicas.length];
    if (replica === undefined) throw new Error("The settings name no replica");
    return await replica.call("configuration.poll", {
      daemonId,
      bootId,
      revision: this.view.revision,
      holdMilliseconds: this.view.revision < 0 ? 0 : holdMilliseconds,
    }, { timeoutMilliseconds: holdMilliseconds + ANSWER_MILLISECONDS });
  }
}

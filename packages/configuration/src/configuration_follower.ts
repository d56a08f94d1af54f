/**
 * Keeps a daemon's copy of the configuration up to date and tracks when the
 * leader last confirmed it.
 */

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
import type { PeerClient } from "@mallowlift/transport";
import { ConfigurationView } from "./configuration_view.ts";

const RETRY_DELAY_MILLISECONDS = 100;
const ANSWER_TIMEOUT_MILLISECONDS = 1_000;

/** Options of a {@linkcode ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  readonly daemonId: string;
  readonly bootId: string;
  /** Links to all replicas. */
  readonly replicas: readonly PeerClient[];
  /** Longest time that the leader holds a poll while nothing changes. */
  readonly holdMilliseconds: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Polls the leader of the configuration group in a background task. */
export class ConfigurationFollower {
  readonly view = new ConfigurationView();
  readonly #options: ConfigurationFollowerOptions;
  readonly #stopped = new AbortController();
  readonly #changed = new WakeSignal();
  #confirmedAt = -Infinity;
  #replicaIndex = 0;

  constructor(options: ConfigurationFollowerOptions) {
    this.#options = options;
  }

  /** Starts to poll, without waiting for the first reply. */
  start(): void {
    void this.#follow();
  }

  /** Stops polling. */
  stop(): void {
    this.#stopped.abort(ABORTED);
  }

  /**
   * True if the leader confirmed the view within the limit.
   *
   * @param now present time of the monotonic clock, ms
   * @param limitMilliseconds maximum staleness
   */
  isFresh(now: number, limitMilliseconds: number): boolean {
    return now - this.#confirmedAt <= limitMilliseconds;
  }

  /** Resolves at the next change, or at the latest after the limit. */
  async waitForChange(limitMilliseconds: number): Promise<void> {
    await this.#changed.wait(limitMilliseconds);
  }

  async #follow(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      // Freshness counts from when the poll was sent: the leader confirmed the
      // view at an unknown time between the poll and its reply.
      const sentAt = performance.now();
      const update = await this.#poll();
      if (update.err) {
        this.#replicaIndex = (this.#replicaIndex + 1) %
          this.#options.replicas.length;
        await sleep(RETRY_DELAY_MILLISECONDS, this.#stopped.signal);
        continue;
      }
      this.#applyUpdate(update.val);
      this.#confirmedAt = sentAt;
    }
  }

  #applyUpdate(update: ConfigurationUpdate): void {
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
    const replica = replicas[this.#replicaIndex % replicas.length];
    if (replica === undefined) throw new Error("The settings list no replicas");
    return await replica.call("configuration.poll", {
      daemonId,
      bootId,
      revision: this.view.revision,
      holdMilliseconds: this.view.revision < 0 ? 0 : holdMilliseconds,
    }, { timeoutMilliseconds: holdMilliseconds + ANSWER_TIMEOUT_MILLISECONDS });
  }
}

/**
 * Reads the instance list from its source: periodically while this store leads,
 * and otherwise when a gateway requests the list.
 */

import { performance } from "node:perf_hooks";
import {
  ABORTED,
  type InstanceList,
  type InstanceListReply,
  type Logger,
  LogRateLimiter,
  type Metrics,
  type ReadInstanceList,
  sleep,
  type UpstreamInstance,
} from "@mallowlift/core";
import { InstanceHistory } from "./instance_history.ts";
import type { InstanceSource } from "./instance_source.ts";
import { keepNewerIncarnations } from "./read_instance.ts";

/** Timeout of one read, so that a slow source does not block the next read. */
const READ_TIMEOUT_MILLISECONDS = 1_500;

/** Minimum time between two log lines on invalid entries with the same reason. */
const INVALID_ENTRY_LOG_INTERVAL_MILLISECONDS = 60_000;

/** Dependencies and settings of an {@linkcode InstanceReader}. */
export interface InstanceReaderOptions {
  readonly source: InstanceSource;
  readonly intervalMilliseconds: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when the list has changed. */
  readonly onChange: () => void;
}

/** Reads the instance list for one store and keeps its recent revisions. */
export class InstanceReader {
  readonly #options: InstanceReaderOptions;
  readonly #invalidEntryLogLimit = new LogRateLimiter(
    INVALID_ENTRY_LOG_INTERVAL_MILLISECONDS,
  );
  #polling: AbortController | undefined;
  /** The read in flight, shared by all callers that need a list. */
  #pendingRead: Promise<void> | undefined;
  readonly #history = new InstanceHistory();
  #readAt = -Infinity;
  #isFailing = false;

  constructor(options: InstanceReaderOptions) {
    this.#options = options;
  }

  /** The list that was read last. */
  get list(): InstanceList | undefined {
    return this.#history.list;
  }

  /** True if a gateway with this revision must be sent the full list. */
  needsFullList(revision: string): boolean {
    return this.#history.needsFullList(revision);
  }

  /** Creates a reply with the changes since the revision of a gateway. */
  createReply(revision: string, now: number): InstanceListReply {
    const update = this.#history.findUpdate(revision);
    return {
      ...(update === undefined ? {} : { update }),
      ...this.createReplyWithoutUpdate(now),
    };
  }

  /** Creates a reply with the revision and age of the list only. */
  createReplyWithoutUpdate(now: number): InstanceListReply {
    return {
      listRevision: this.list?.revision ?? "",
      listAgeMilliseconds: this.findAge(now),
    };
  }

  /** Local time at which the list was read. */
  get readAt(): number {
    return this.#readAt;
  }

  /** Time since the list was read, ms; -1 if there is no list. */
  findAge(now: number): number {
    return this.list === undefined ? -1 : now - this.#readAt;
  }

  /** Starts polling the source; called when this store becomes the leader. */
  start(): void {
    this.stop();
    const polling = new AbortController();
    this.#polling = polling;
    void this.#poll(polling.signal);
  }

  /** Stops polling and drops the list, since another store reads it from now on. */
  stop(): void {
    this.#polling?.abort(ABORTED);
    this.#polling = undefined;
    this.#history.clear();
  }

  /**
   * Answers a gateway, and reads the list first if it is older than the request
   * allows. Works without a leader, since the list is not replicated.
   */
  async answer(request: ReadInstanceList): Promise<InstanceListReply> {
    const age = this.findAge(performance.now());
    if (age < 0 || age > request.maxAgeMilliseconds) await this.#readOnce();
    return this.createReply(request.revision, performance.now());
  }

  async #poll(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = performance.now();
      await this.#readOnce();
      const remaining = startedAt + this.#options.intervalMilliseconds -
        performance.now();
      await sleep(Math.max(remaining, 0), signal);
    }
  }

  async #readOnce(): Promise<void> {
    this.#pendingRead ??= this.#readNow(performance.now())
      .finally(() => this.#pendingRead = undefined);
    await this.#pendingRead;
  }

  async #readNow(startedAt: number): Promise<void> {
    const read = await this.#options.source.read(
      AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS),
      (reason) => this.#reportInvalidEntry(reason, startedAt),
    );
    if (read.ok) this.#apply(read.val, startedAt);
    this.#reportFailure(read.ok ? "" : read.val.message);
  }

  #apply(read: readonly UpstreamInstance[], readAt: number): void {
    this.#readAt = readAt;
    const instances = keepNewerIncarnations(read, this.list?.instances ?? []);
    if (!this.#history.replace(instances)) return;
    this.#options.logger.info("Instance list changed", {
      revision: this.list?.revision,
      instances: instances.length,
      leaving: instances.filter((instance) => instance.leaving).length,
    });
    this.#options.onChange();
  }

  /** Counts an invalid entry; logging is rate-limited, as the entry recurs in every read. */
  #reportInvalidEntry(reason: string, now: number): void {
    const { metrics, logger } = this.#options;
    metrics.invalidInstances.inc({ reason });
    const repeats = this.#invalidEntryLogLimit.take(reason, now);
    if (repeats === undefined) return;
    logger.warn("Invalid instance entry skipped", { reason, repeats });
  }

  #reportFailure(message: string): void {
    const isFailing = message !== "";
    if (isFailing === this.#isFailing) return;
    this.#isFailing = isFailing;
    const { logger } = this.#options;
    if (isFailing) logger.warn("Instance list lost", { message });
    else logger.info("Instance list regained");
  }
}

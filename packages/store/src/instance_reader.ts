/** Reads the instance list for the whole site while this store leads. */

import { performance } from "node:perf_hooks";
import {
  ABORTED,
  hashText,
  type InstanceList,
  type Logger,
  type Metrics,
  RepeatLimit,
  sleep,
  type UpstreamInstance,
} from "@mallowlift/core";
import type { InstanceSource } from "./instance_source.ts";
import { keepLaterLives } from "./read_instance.ts";

/** Longest time that one read may take, ms: a slow platform must not stop the next. */
const READ_MILLISECONDS = 1_500;

/** Least time between two lines on entries that are strange in the same way, ms. */
const STRANGE_SPAN_MILLISECONDS = 60_000;

/** What the reader works with. */
export interface InstanceReaderOptions {
  readonly source: InstanceSource;
  readonly intervalMilliseconds: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when the list has changed. */
  readonly onChange: () => void;
}

/** The one reader of the site. */
export class InstanceReader {
  readonly #options: InstanceReaderOptions;
  readonly #strange = new RepeatLimit(STRANGE_SPAN_MILLISECONDS);
  #stopped: AbortController | undefined;
  #list: InstanceList | undefined;
  #readAt = 0;
  #isFailing = false;

  constructor(options: InstanceReaderOptions) {
    this.#options = options;
  }

  /** The list as last read. */
  get list(): InstanceList | undefined {
    return this.#list;
  }

  /** Time since the list was read, ms; -1 if it never was. */
  findAge(now: number): number {
    return this.#list === undefined ? -1 : now - this.#readAt;
  }

  /** Starts to read; called when this store starts to lead. */
  start(): void {
    this.stop();
    const stopped = new AbortController();
    this.#stopped = stopped;
    void this.#run(stopped.signal);
  }

  /** Ends reading and forgets the list, which another reader keeps now. */
  stop(): void {
    this.#stopped?.abort(ABORTED);
    this.#stopped = undefined;
    this.#list = undefined;
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = performance.now();
      const read = await this.#options.source.read(
        AbortSignal.any([signal, AbortSignal.timeout(READ_MILLISECONDS)]),
        (reason) => this.#noteStrange(reason, startedAt),
      );
      if (signal.aborted) return;
      if (read.ok) this.#take(read.val, startedAt);
      this.#noteFailure(read.ok ? "" : read.val.message);
      const rest = startedAt + this.#options.intervalMilliseconds -
        performance.now();
      await sleep(Math.max(rest, 0), signal);
    }
  }

  #take(read: readonly UpstreamInstance[], readAt: number): void {
    this.#readAt = readAt;
    const instances = keepLaterLives(read, this.#list?.instances ?? []);
    const revision = hashText(JSON.stringify(instances));
    if (revision === this.#list?.revision) return;
    this.#list = { revision, instances };
    this.#options.logger.info("Instance list changed", {
      revision,
      instances: instances.length,
      leaving: instances.filter((instance) => instance.leaving).length,
    });
    this.#options.onChange();
  }

  /** A strange entry comes with every reading, and gets a line once in a while. */
  #noteStrange(reason: string, now: number): void {
    const { metrics, logger } = this.#options;
    metrics.strangeInstances.inc({ reason });
    const repeats = this.#strange.take(reason, now);
    if (repeats === undefined) return;
    logger.warn("Instance entry left out", { reason, repeats });
  }

  #noteFailure(message: string): void {
    const isFailing = message !== "";
    if (isFailing === this.#isFailing) return;
    this.#isFailing = isFailing;
    const { logger } = this.#options;
    if (isFailing) logger.warn("Instance list lost", { message });
    else logger.info("Instance list regained");
  }
}

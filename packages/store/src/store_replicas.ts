/** How a store learns of the other stores: from the directory. */

import { performance } from "node:perf_hooks";
import type { KnownFounders, ReplicaSource } from "@mallowlift/consensus";
import { type ReplicaAddress, ROLES } from "@mallowlift/core";
import type { Directory, DirectoryTask } from "@mallowlift/membership";
import type { SiteState } from "@mallowlift/sessions";

/**
 * Time without a new daemon after which an empty site is founded, ms. All
 * machines of a new site start within 0.3 s and ask each other every 0.15 s.
 */
const SETTLE_MILLISECONDS = 1_200;
/** Age up to which a store counts as a founder, ms. */
const FOUNDER_AGE_MILLISECONDS = 1_500;

/** What the source works with. */
export interface StoreReplicasOptions {
  readonly directory: Directory;
  readonly task: DirectoryTask;
  readonly state: SiteState;
  /** Stores that may be lost at once. */
  readonly tolerance: number;
  readonly isFirstStart: boolean;
}

/** Stores of the directory. */
export class StoreReplicas implements ReplicaSource {
  readonly voterCount: number;
  readonly #options: StoreReplicasOptions;
  readonly #startedAt = performance.now();

  constructor(options: StoreReplicasOptions) {
    this.#options = options;
    this.voterCount = 2 * options.tolerance + 1;
  }

  /** All stores that are known. */
  list(): readonly ReplicaAddress[] {
    return this.#listSince(-Infinity);
  }

  /** Stores heard lately; complete once no new daemon has come for a while. */
  listFounders(now: number): KnownFounders {
    const { directory, isFirstStart } = this.#options;
    const settledAt = Math.max(directory.changedAt, this.#startedAt) +
      SETTLE_MILLISECONDS;
    const founders = isFirstStart
      ? this.#listSince(now - FOUNDER_AGE_MILLISECONDS)
      : this.#listSince(-Infinity);
    return { founders, complete: isFirstStart && now >= settledAt };
  }

  /** Asks the seeds. */
  async claimFounding(): Promise<boolean> {
    return this.#options.isFirstStart &&
      await this.#options.task.claimFounding();
  }

  /** Incarnations of stores that an operator has asked to be emptied. */
  listRetiring(): ReadonlySet<string> {
    return new Set(this.#options.state.retiring.values());
  }

  #listSince(since: number): readonly ReplicaAddress[] {
    const stores = this.#options.directory.findByRole(ROLES.STORE, since);
    return stores.map(({ name, address }) => ({ replicaId: name, address }));
  }
}

/** Lists the other stores of the site from the directory. */

import type { KnownFounders, ReplicaSource } from "@mallowlift/consensus";
import { type ReplicaAddress, ROLES } from "@mallowlift/core";
import type { Directory, DirectoryTask } from "@mallowlift/membership";
import type { SiteState } from "@mallowlift/sessions";

/**
 * Time without a new daemon after which an empty site is founded, ms. The
 * machines of a new site start within 0.3 s and query each other every 0.15 s.
 */
const SETTLE_MILLISECONDS = 1_200;
/** Maximum time since the last sign of life of a store that counts as a founder, ms. */
const FOUNDER_AGE_MILLISECONDS = 1_500;

/**
 * Time after the start for which the founding of the site waits for as many stores as
 * it should have voters, ms. A site of fewer stores does not survive the loss of as
 * many disks as it should, until more of them have joined.
 */
const VOTERS_WAIT_MILLISECONDS = 8_000;

/** Dependencies and settings of {@linkcode StoreReplicas}. */
export interface StoreReplicasOptions {
  readonly directory: Directory;
  readonly task: DirectoryTask;
  readonly state: SiteState;
  /** Number of stores that may fail at once. */
  readonly tolerance: number;
  readonly isFirstStart: boolean;
}

/** Provides the consensus group with the stores from the directory. */
export class StoreReplicas implements ReplicaSource {
  readonly voterCount: number;
  readonly mayFound: boolean;
  readonly #options: StoreReplicasOptions;
  readonly #startedAt: number;

  constructor(options: StoreReplicasOptions, now: number) {
    this.#options = options;
    this.#startedAt = now;
    this.voterCount = 2 * options.tolerance + 1;
    this.mayFound = options.isFirstStart;
  }

  /** Returns all known stores. */
  list(): readonly ReplicaAddress[] {
    return this.#listSince(-Infinity);
  }

  /**
   * Returns the possible founders: on a first start the stores with a recent
   * sign of life, otherwise all known stores. The list is complete on a first
   * start once the directory has not changed for {@linkcode SETTLE_MILLISECONDS} and
   * enough stores for all voters are known, or have been waited for.
   */
  listFounders(now: number): KnownFounders {
    const { directory, isFirstStart } = this.#options;
    const settledAt = Math.max(directory.changedAt, this.#startedAt) +
      SETTLE_MILLISECONDS;
    const founders = isFirstStart
      ? this.#listSince(now - FOUNDER_AGE_MILLISECONDS)
      : this.#listSince(-Infinity);
    const hasAllVoters = founders.length >= this.voterCount ||
      now >= this.#startedAt + VOTERS_WAIT_MILLISECONDS;
    const isComplete = isFirstStart && hasAllVoters && now >= settledAt;
    return { founders, isComplete };
  }

  /** Asks the seeds for the right to found the site; false after the first start. */
  async claimFounding(): Promise<boolean> {
    return this.#options.isFirstStart &&
      await this.#options.task.claimFounding();
  }

  /** Returns the incarnations of the stores that an operator is retiring. */
  listRetiringIncarnations(): ReadonlySet<string> {
    return new Set(this.#options.state.retiring.values());
  }

  #listSince(since: number): readonly ReplicaAddress[] {
    const stores = this.#options.directory.findByRole(ROLES.STORE, since);
    return stores.map(({ name, address }) => ({ replicaId: name, address }));
  }
}

/** Where a replica learns of the others. */

import type { ReplicaAddress } from "@mallowlift/core";

/** The replicas that are known at one moment. */
export interface KnownFounders {
  readonly founders: readonly ReplicaAddress[];
  /** True if there is no reason to wait for more of them. */
  readonly complete: boolean;
}

/** Tells a replica of the others, and whether it may found the site. */
export interface ReplicaSource {
  /** Voters that the group should have. */
  readonly voterCount: number;
  /** Replicas that may be asked to be taken in, this one included. */
  list(): readonly ReplicaAddress[];
  /** Replicas with which this one could found the site, itself included. */
  listFounders(now: number): KnownFounders;
  /** Asks for the right to found the site; at most one replica ever gets it. */
  claimFounding(): Promise<boolean>;
  /** Incarnations of replicas that are being emptied. */
  listRetiring(): ReadonlySet<string>;
}

/** A list from the settings, the same at every replica. */
export class FixedReplicas implements ReplicaSource {
  readonly voterCount: number;
  readonly #replicas: readonly ReplicaAddress[];

  constructor(replicas: readonly ReplicaAddress[]) {
    this.#replicas = replicas;
    this.voterCount = replicas.length;
  }

  /** All of the list. */
  list(): readonly ReplicaAddress[] {
    return this.#replicas;
  }

  /** All of the list, which is complete. */
  listFounders(): KnownFounders {
    return { founders: this.#replicas, complete: true };
  }

  /** The least id is alone in founding, so it needs no further right. */
  claimFounding(): Promise<boolean> {
    return Promise.resolve(true);
  }

  /** Retirement needs replicas that can take over, so a fixed list has none. */
  listRetiring(): ReadonlySet<string> {
    return new Set();
  }
}

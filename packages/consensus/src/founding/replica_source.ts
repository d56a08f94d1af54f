/** Sources from which a replica learns the addresses of the other replicas. */

import type { ReplicaAddress } from "@mallowlift/core";

/** The possible founders that are known at one moment. */
export interface KnownFounders {
  readonly founders: readonly ReplicaAddress[];
  /** True if no further founders are expected. */
  readonly isComplete: boolean;
}

/** Lists the other replicas, and grants the right to found the site. */
export interface ReplicaSource {
  /** Number of voters that the group should have. */
  readonly voterCount: number;
  /** False after the first start of the site, since the folder may have been lost. */
  readonly mayFound: boolean;
  /** Replicas that may receive a join request, this one included. */
  list(): readonly ReplicaAddress[];
  /** Replicas that could found the site together, this one included. */
  listFounders(now: number): KnownFounders;
  /** Requests the right to found the site, which at most one replica ever gets. */
  claimFounding(): Promise<boolean>;
  /** Incarnations of replicas that are being retired. */
  listRetiringIncarnations(): ReadonlySet<string>;
}

/** A fixed list from the settings, the same at every replica. */
export class FixedReplicas implements ReplicaSource {
  readonly voterCount: number;
  readonly mayFound = true;
  readonly #replicas: readonly ReplicaAddress[];

  constructor(replicas: readonly ReplicaAddress[]) {
    this.#replicas = replicas;
    this.voterCount = replicas.length;
  }

  /** Returns the whole list. */
  list(): readonly ReplicaAddress[] {
    return this.#replicas;
  }

  /** Returns the whole list, which is always complete. */
  listFounders(): KnownFounders {
    return { founders: this.#replicas, isComplete: true };
  }

  /** Always granted, since only the replica with the smallest id ever founds the site. */
  claimFounding(): Promise<boolean> {
    return Promise.resolve(true);
  }

  /** Always empty: retirement needs other replicas to take over, and a fixed list has none. */
  listRetiringIncarnations(): ReadonlySet<string> {
    return new Set();
  }
}

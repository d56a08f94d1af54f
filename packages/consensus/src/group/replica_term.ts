/** Current term of a replica and its vote in that term. */

import type { DataFolder, StoredGroup } from "../storage/data_folder.ts";

/**
 * Holds the term and the vote and stores them on disk: a replica that lost its
 * vote in a restart could vote twice in one term.
 */
export class ReplicaTerm {
  readonly #group: number;
  readonly #folder: DataFolder;
  #number: number;
  #votedFor: string;

  constructor(stored: StoredGroup, folder: DataFolder) {
    this.#group = stored.group;
    this.#folder = folder;
    this.#number = stored.term;
    this.#votedFor = stored.votedFor;
  }

  /** Latest term that this replica knows. */
  get number(): number {
    return this.#number;
  }

  /** Id of the candidate that has its vote in this term; empty if none has. */
  get votedFor(): string {
    return this.#votedFor;
  }

  /** Moves to a later term and clears the vote. */
  advance(term: number): void {
    this.#number = term;
    this.#votedFor = "";
    void this.#save();
  }

  /** Votes for a candidate in this term; resolves when the vote is on disk. */
  async voteFor(replicaId: string): Promise<void> {
    this.#votedFor = replicaId;
    await this.#save();
  }

  async #save(): Promise<void> {
    await this.#folder.log.append([{
      kind: "vote",
      group: this.#group,
      term: this.#number,
      votedFor: this.#votedFor,
    }]);
  }
}

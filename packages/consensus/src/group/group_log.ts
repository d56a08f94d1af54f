/** The entries of one group that are not yet in a snapshot, in memory. */

import type { LogEntry } from "@mallowlift/core";

const MAX_BATCH_ENTRIES = 2_000;

/** Entries after a base index. */
export class GroupLog {
  #baseIndex: number;
  #baseTerm: number;
  #entries: LogEntry[];

  constructor(
    baseIndex: number,
    baseTerm: number,
    entries: readonly LogEntry[],
  ) {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#entries = [...entries];
  }

  /** Index of the last entry that is only in the snapshot. */
  get baseIndex(): number {
    return this.#baseIndex;
  }

  /** Index of the last entry. */
  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  /** Term of the last entry. */
  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  /** Returns the term of an entry; undefined if it is not known any more or yet. */
  findTerm(index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseTerm;
    return this.get(index)?.term;
  }

  /** Returns an entry, if it is in memory. */
  get(index: number): LogEntry | undefined {
    if (index <= this.#baseIndex) return undefined;
    return this.#entries[index - this.#baseIndex - 1];
  }

  /** Appends an entry whose index follows the last one. */
  append(entry: LogEntry): void {
    this.#entries.push(entry);
  }

  /** Removes an entry and all later ones. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.#baseIndex - 1);
  }

  /** Returns entries from an index until they have so many bytes; one at least. */
  slice(from: number, bytesWanted: number): readonly LogEntry[] {
    const entries: LogEntry[] = [];
    let bytes = 0;
    let index = from;
    while (entries.length < MAX_BATCH_ENTRIES && bytes < bytesWanted) {
      const entry = this.get(index);
      if (entry === undefined) break;
      entries.push(entry);
      bytes += entry.payload.length;
      index++;
    }
    return entries;
  }

  /**
   * Drops entries up to an index that a snapshot covers; a member that lacks
   * any of them is sent the whole snapshot instead.
   */
  dropUntil(index: number): void {
    const term = this.findTerm(index);
    if (term === undefined || index <= this.#baseIndex) return;
    this.#entries = this.#entries.slice(index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Drops everything in favour of an installed snapshot. */
  reset(baseIndex: number, baseTerm: number): void {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#entries = [];
  }
}

/**
 * Holds the recent entries of a group in memory; a snapshot covers the earlier
 * ones.
 */

import type { LogEntry } from "@mallowlift/core";

/** Maximum number of entries in one slice. */
const MAX_BATCH_ENTRIES = 2_000;

/** Log entries after a base index. */
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

  /** Index of the last entry that has been dropped in favour of a snapshot. */
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

  /**
   * Returns the term of an entry; undefined if it was dropped or does not exist
   * yet.
   */
  findTerm(index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseTerm;
    return this.get(index)?.term;
  }

  /** Returns an entry; undefined if it is not in memory. */
  get(index: number): LogEntry | undefined {
    if (index <= this.#baseIndex) return undefined;
    return this.#entries[index - this.#baseIndex - 1];
  }

  /** Appends an entry; its index must be the last index plus one. */
  append(entry: LogEntry): void {
    this.#entries.push(entry);
  }

  /** Removes an entry and all later ones. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.#baseIndex - 1);
  }

  /**
   * Returns entries from an index on, until their payloads reach a number of
   * bytes or the batch is full. If the first entry is in memory, it is returned
   * whatever its size.
   */
  slice(from: number, minimumBytes: number): readonly LogEntry[] {
    const entries: LogEntry[] = [];
    let bytes = 0;
    let index = from;
    while (entries.length < MAX_BATCH_ENTRIES && bytes < minimumBytes) {
      const entry = this.get(index);
      if (entry === undefined) break;
      entries.push(entry);
      bytes += entry.payload.length;
      index++;
    }
    return entries;
  }

  /**
   * Drops the entries up to an index, all of which a snapshot must cover. A
   * member that lacks any of them is sent the whole snapshot instead.
   */
  dropUntil(index: number): void {
    const term = this.findTerm(index);
    if (term === undefined || index <= this.#baseIndex) return;
    this.#entries = this.#entries.slice(index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Drops all entries in favour of an installed snapshot. */
  reset(baseIndex: number, baseTerm: number): void {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#entries = [];
  }
}

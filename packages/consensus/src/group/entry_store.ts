/**
 * Stores the entries of a group in memory and on disk, and derives its
 * membership from them.
 */

import { performance } from "node:perf_hooks";
import { ENTRY_KINDS, type LogEntry, type Member } from "@mallowlift/core";
import type { DataFolder, StoredGroup } from "../storage/data_folder.ts";
import type { EntryRecord } from "../storage/write_ahead_log.ts";
import { GroupLog } from "./group_log.ts";
import { decodeMembers, Membership } from "./membership.ts";

/** Appends entries and tracks which of them are on disk. */
export class EntryStore {
  readonly log: GroupLog;
  readonly membership: Membership;
  /** Called after a membership entry has been appended. */
  onMembershipChange: (now: number) => void = () => undefined;
  readonly #group: number;
  readonly #folder: DataFolder;
  #syncedIndex: number;

  constructor(stored: StoredGroup, folder: DataFolder) {
    const base = stored.snapshot?.lastIndex ?? 0;
    const baseTerm = stored.snapshot?.lastTerm ?? 0;
    this.#group = stored.group;
    this.#folder = folder;
    this.log = new GroupLog(base, baseTerm, stored.entries);
    this.membership = new Membership(base, stored.snapshot?.members ?? []);
    for (const entry of stored.entries) this.#trackMembership(entry);
    this.#syncedIndex = this.log.lastIndex;
  }

  /** Index of the last entry that is known to be on disk. */
  get syncedIndex(): number {
    return this.#syncedIndex;
  }

  /**
   * Appends an entry that this replica proposes as leader; resolves when it is
   * on disk.
   */
  async appendOwn(entry: LogEntry): Promise<void> {
    this.#append(entry);
    await this.#persist([entry]);
    this.#advanceSyncedIndex(entry);
  }

  /**
   * Stores entries from the leader; resolves when they and all earlier ones are
   * on disk.
   */
  async storeFromLeader(entries: readonly LogEntry[]): Promise<void> {
    const added = this.#appendMissing(entries);
    // Entries that were appended earlier may not be synced yet, so an empty
    // append waits for the sync as well.
    const isSynced = added.length === 0 &&
      this.#syncedIndex >= this.log.lastIndex;
    if (isSynced) return;
    await this.#persist(added);
    const last = entries.at(-1);
    if (last !== undefined) this.#advanceSyncedIndex(last);
  }

  /** Replaces all entries by an installed snapshot. */
  reset(
    index: number,
    term: number,
    options: { readonly members: readonly Member[] },
  ): void {
    this.log.reset(index, term);
    this.membership.reset(index, options.members);
    this.#syncedIndex = index;
  }

  /**
   * Appends the entries that the log lacks, and returns them. Truncates the log
   * at the first entry whose term differs.
   */
  #appendMissing(entries: readonly LogEntry[]): readonly LogEntry[] {
    const added: LogEntry[] = [];
    for (const entry of entries) {
      if (entry.index <= this.log.baseIndex) continue;
      const isFirst = added.length === 0;
      if (isFirst && this.log.findTerm(entry.index) === entry.term) continue;
      if (isFirst) this.#truncateFrom(entry.index);
      added.push(entry);
      this.#append(entry);
    }
    return added;
  }

  #truncateFrom(index: number): void {
    if (index > this.log.lastIndex) return;
    this.log.truncateFrom(index);
    this.membership.truncateFrom(index);
    this.#syncedIndex = Math.min(this.#syncedIndex, index - 1);
  }

  #append(entry: LogEntry): void {
    this.log.append(entry);
    this.#trackMembership(entry);
  }

  #trackMembership(entry: LogEntry): void {
    if (entry.kind !== ENTRY_KINDS.MEMBERSHIP) return;
    this.membership.append(entry.index, decodeMembers(entry.payload));
    this.onMembershipChange(performance.now());
  }

  #persist(entries: readonly LogEntry[]): Promise<void> {
    const records: EntryRecord[] = entries.map((entry) => ({
      kind: "entry",
      group: this.#group,
      entry,
    }));
    return this.#folder.log.append(records);
  }

  /**
   * Marks the log as synced up to an entry, unless a later leader replaced the
   * entry while it was being synced.
   */
  #advanceSyncedIndex(entry: LogEntry): void {
    if (this.log.findTerm(entry.index) !== entry.term) return;
    this.#syncedIndex = Math.max(this.#syncedIndex, entry.index);
  }
}

/** The entries of a group: in memory, on disk, and what they say of its members. */

import { performance } from "node:perf_hooks";
import { ENTRY_KINDS, type LogEntry, type Member } from "@mallowlift/core";
import type { DataFolder, StoredGroup } from "../storage/data_folder.ts";
import type { EntryRecord } from "../storage/write_ahead_log.ts";
import { GroupLog } from "./group_log.ts";
import { decodeMembers, Membership } from "./membership.ts";

/** Appends entries and knows which are on disk. */
export class EntryStore {
  readonly log: GroupLog;
  readonly membership: Membership;
  /** Called when an entry has changed the members. */
  onMembership: (now: number) => void = () => undefined;
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
    for (const entry of stored.entries) this.#noteMembership(entry);
    this.#syncedIndex = this.log.lastIndex;
  }

  /** Last entry that is known to be on disk. */
  get syncedIndex(): number {
    return this.#syncedIndex;
  }

  /** Appends an entry of the leader itself; resolves when it is on disk. */
  async appendOwn(entry: LogEntry): Promise<void> {
    this.#append(entry);
    await this.#save([entry]);
    this.#noteSynced(entry);
  }

  /** Stores entries of the leader; resolves when all up to them are on disk. */
  async storeFromLeader(entries: readonly LogEntry[]): Promise<void> {
    const fresh = this.#takeFresh(entries);
    // Entries known before may still be on their way to the disk, so an
    // empty append waits for the sync as well.
    const isSynced = fresh.length === 0 &&
      this.#syncedIndex >= this.log.lastIndex;
    if (isSynced) return;
    await this.#save(fresh);
    const last = entries.at(-1);
    if (last !== undefined) this.#noteSynced(last);
  }

  /** Starts again from an installed snapshot. */
  reset(
    index: number,
    term: number,
    options: { readonly members: readonly Member[] },
  ): void {
    this.log.reset(index, term);
    this.membership.reset(index, options.members);
    this.#syncedIndex = index;
  }

  #takeFresh(entries: readonly LogEntry[]): readonly LogEntry[] {
    const fresh: LogEntry[] = [];
    for (const entry of entries) {
      if (entry.index <= this.log.baseIndex) continue;
      const isFirst = fresh.length === 0;
      if (isFirst && this.log.findTerm(entry.index) === entry.term) continue;
      if (isFirst) this.#truncateFrom(entry.index);
      fresh.push(entry);
      this.#append(entry);
    }
    return fresh;
  }

  #truncateFrom(index: number): void {
    if (index > this.log.lastIndex) return;
    this.log.truncateFrom(index);
    this.membership.truncateFrom(index);
    this.#syncedIndex = Math.min(this.#syncedIndex, index - 1);
  }

  #append(entry: LogEntry): void {
    this.log.append(entry);
    this.#noteMembership(entry);
  }

  #noteMembership(entry: LogEntry): void {
    if (entry.kind !== ENTRY_KINDS.MEMBERSHIP) return;
    this.membership.append(entry.index, decodeMembers(entry.payload));
    this.onMembership(performance.now());
  }

  #save(entries: readonly LogEntry[]): Promise<void> {
    const records: EntryRecord[] = entries.map((entry) => ({
      kind: "entry",
      group: this.#group,
      entry,
    }));
    return this.#folder.log.append(records);
  }

  /** A later leader may have replaced the entry while it was being synced. */
  #noteSynced(entry: LogEntry): void {
    if (this.log.findTerm(entry.index) !== entry.term) return;
    this.#syncedIndex = Math.max(this.#syncedIndex, entry.index);
  }
}

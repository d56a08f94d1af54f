/**
 * The data folder of a replica: its identity, the write-ahead log and the
 * snapshots. Opening a folder restores the stored state of every group.
 */

import { randomUUID } from "node:crypto";
import { existsSync, mkdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { Buffer } from "node:buffer";
import {
  type LogEntry,
  type Member,
  type ReplicaIdentity,
  SerialQueue,
  waitWithTimeout,
} from "@mallowlift/core";
import { replaceFile } from "./durable_file.ts";
import {
  type NewSnapshot,
  type Snapshot,
  SnapshotStore,
} from "./snapshot_store.ts";
import { type LogRecord, WriteAheadLog } from "./write_ahead_log.ts";

const FORMAT_VERSION = 3;
/** Format 2 has no batch records, and stores a snapshot as a single record. */
const READABLE_FORMAT_VERSIONS: readonly number[] = [2, FORMAT_VERSION];

interface IdentityFile {
  readonly format: number;
  readonly replicaId: string;
  readonly incarnation: string;
}

/** Stored state of one group at the time when the folder was opened. */
export interface StoredGroup {
  readonly group: number;
  readonly term: number;
  readonly votedFor: string;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
}

/**
 * Longest wait on close for a snapshot that is being written, ms. It is far
 * longer than a usual write, and short compared with the time that a planned
 * stop may take.
 */
const CLOSE_TIMEOUT_MILLISECONDS = 1_000;

/** An open data folder. */
export class DataFolder {
  readonly identity: ReplicaIdentity;
  readonly log: WriteAheadLog;
  readonly snapshots: SnapshotStore;
  readonly #stored = new Map<number, StoredGroup>();
  readonly #snapshotIndexes = new Map<number, number>();
  readonly #snapshotQueue = new SerialQueue();

  private constructor(path: string, identity: ReplicaIdentity) {
    this.identity = identity;
    // All files are in one folder, so syncing that folder covers every name.
    this.log = new WriteAheadLog(path);
    this.snapshots = new SnapshotStore(path);
  }

  /**
   * Opens a folder. A new folder gets a new incarnation, which is written to
   * disk before it is sent to any other replica. Throws if the folder belongs
   * to another replica, has an unsupported format or is damaged.
   */
  static async open(path: string, options: {
    readonly replicaId: string;
    readonly groups: readonly number[];
  }): Promise<DataFolder> {
    mkdirSync(path, { recursive: true });
    const { identity, format } = await readOrCreateIdentity(
      path,
      options.replicaId,
    );
    const isOldFormat = format !== FORMAT_VERSION;
    const folder = new DataFolder(path, identity);
    const records = await folder.log.open();
    for (const group of options.groups) {
      if (isOldFormat) await folder.snapshots.convert(group);
      folder.#loadGroup(group, records);
    }
    return folder;
  }

  /** True if the folder holds a founding snapshot or any later state. */
  get isFounded(): boolean {
    for (const stored of this.#stored.values()) {
      if (stored.snapshot !== undefined || stored.entries.length > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the state of a group that was found on opening the folder. */
  getStored(group: number): StoredGroup {
    const empty = {
      group,
      term: 0,
      votedFor: "",
      snapshot: undefined,
      entries: [],
    };
    return this.#stored.get(group) ?? empty;
  }

  /** Writes the founding snapshot of a group: its first members and no state. */
  async saveFounding(group: number, members: readonly Member[]): Promise<void> {
    const metadata = { group, lastIndex: 0, lastTerm: 0, members };
    await this.saveSnapshot({ ...metadata, parts: [] });
    const stored = this.getStored(group);
    const snapshot = { ...metadata, state: Buffer.alloc(0) };
    this.#stored.set(group, { ...stored, snapshot });
  }

  /**
   * Saves a snapshot of the local state, and removes the log segments that the
   * snapshots of all groups cover.
   */
  async saveSnapshot(snapshot: NewSnapshot): Promise<void> {
    await this.#snapshotQueue.run(async () => {
      if (!await this.#saveIfNewer(snapshot)) return;
      await this.log.prune(this.#snapshotIndexes);
    });
  }

  /** Saves a snapshot that replaces the whole log of its group. */
  async installSnapshot(snapshot: Snapshot): Promise<void> {
    const { state, ...metadata } = snapshot;
    const { group, lastIndex } = metadata;
    await this.#snapshotQueue.run(async () => {
      if (!await this.#saveIfNewer({ ...metadata, parts: [state] })) return;
      // The log is pruned only after the reset. Until then, the entry at the
      // snapshot's index shows whether later entries continue the snapshot.
      await this.log.append([{ kind: "reset", group, index: lastIndex }]);
      await this.log.prune(this.#snapshotIndexes);
    });
  }

  /** Waits up to a timeout for a snapshot that is being written, then closes the log. */
  async close(): Promise<void> {
    await waitWithTimeout(this.#snapshotQueue.idle, CLOSE_TIMEOUT_MILLISECONDS);
    await this.log.close();
  }

  async #saveIfNewer(snapshot: NewSnapshot): Promise<boolean> {
    const latestIndex = this.#snapshotIndexes.get(snapshot.group) ?? -1;
    if (snapshot.lastIndex <= latestIndex) return false;
    await this.snapshots.save(snapshot);
    this.#snapshotIndexes.set(snapshot.group, snapshot.lastIndex);
    return true;
  }

  #loadGroup(group: number, records: readonly LogRecord[]): void {
    const snapshot = this.snapshots.load(group);
    const snapshotIndex = snapshot?.lastIndex ?? 0;
    if (snapshot !== undefined) this.#snapshotIndexes.set(group, snapshotIndex);
    let term = 0;
    let votedFor = "";
    let entries: LogEntry[] = [];
    for (const record of records) {
      if (record.group !== group) continue;
      if (record.kind === "vote") {
        term = record.term;
        votedFor = record.votedFor;
      } else if (record.kind === "reset") {
        entries = [];
      } else {
        appendEntry(entries, record.entry);
      }
    }
    if (!isConsistentWithSnapshot(snapshot, entries)) entries = [];
    entries = entries.filter((entry) => entry.index > snapshotIndex);
    const first = entries[0];
    if (first !== undefined && first.index !== snapshotIndex + 1) {
      throw new Error(
        `Log of group ${group} is missing entries after index ${snapshotIndex}`,
      );
    }
    this.#stored.set(group, { group, term, votedFor, snapshot, entries });
  }
}

/** Appends an entry; it replaces any entries from its index onwards. */
function appendEntry(entries: LogEntry[], entry: LogEntry): void {
  // Earlier segments may have been pruned, so an array position is not an index.
  while ((entries.at(-1)?.index ?? -Infinity) >= entry.index) entries.pop();
  entries.push(entry);
}

/**
 * Returns true if the entries continue the history of the snapshot. After a
 * crash between installing a snapshot and resetting the log, the log may hold
 * entries that conflict with the snapshot.
 */
function isConsistentWithSnapshot(
  snapshot: Snapshot | undefined,
  entries: readonly LogEntry[],
): boolean {
  if (snapshot === undefined) return true;
  const last = entries.find((entry) => entry.index === snapshot.lastIndex);
  return last === undefined || last.term === snapshot.lastTerm;
}

async function readOrCreateIdentity(
  folder: string,
  replicaId: string,
): Promise<{ readonly identity: ReplicaIdentity; readonly format: number }> {
  const path = join(folder, "identity.json");
  if (!existsSync(path)) {
    const identity = { replicaId, incarnation: randomUUID() };
    const content = JSON.stringify({ format: FORMAT_VERSION, ...identity });
    await replaceFile(path, [Buffer.from(content)]);
    return { identity, format: FORMAT_VERSION };
  }
  const found = JSON.parse(readFileSync(path, "utf8")) as IdentityFile;
  if (found.replicaId !== replicaId) {
    throw new Error(
      `Data folder belongs to replica ${found.replicaId}, not ${replicaId}`,
    );
  }
  if (!READABLE_FORMAT_VERSIONS.includes(found.format)) {
    throw new Error(
      `Data folder has unsupported format ${found.format}; the current format is ${FORMAT_VERSION}`,
    );
  }
  const identity = { replicaId, incarnation: found.incarnation };
  return { identity, format: found.format };
}

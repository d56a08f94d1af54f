/** The data folder of a replica, and the incarnation it stands for. */

import { randomUUID } from "node:crypto";
import { existsSync, mkdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { Buffer } from "node:buffer";
import {
  type LogEntry,
  type Member,
  type ReplicaIdentity,
  TurnQueue,
  waitAtMost,
} from "@mallowlift/core";
import { replaceFile } from "./durable_file.ts";
import {
  type Snapshot,
  type SnapshotContent,
  SnapshotStore,
} from "./snapshot_store.ts";
import { type LogRecord, WriteAheadLog } from "./write_ahead_log.ts";

const FORMAT_VERSION = 3;
/** Version 2 has no batches, and snapshots of one record; both are read. */
const READABLE_VERSIONS: readonly number[] = [2, FORMAT_VERSION];

interface IdentityFile {
  readonly format: number;
  readonly replicaId: string;
  readonly incarnation: string;
}

/** What the folder held for one group when it was opened. */
export interface StoredGroup {
  readonly group: number;
  readonly term: number;
  readonly votedFor: string;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
}

/**
 * Longest wait at a stop for a snapshot that is being written, ms: far above a
 * usual one, and short beside the time in which a planned stop has to end.
 */
const CLOSE_MILLISECONDS = 1_000;

/** An open data folder. */
export class DataFolder {
  readonly identity: ReplicaIdentity;
  readonly log: WriteAheadLog;
  readonly snapshots: SnapshotStore;
  readonly #stored = new Map<number, StoredGroup>();
  readonly #snapshotIndexes = new Map<number, number>();
  readonly #snapshotTurns = new TurnQueue();

  private constructor(path: string, identity: ReplicaIdentity) {
    this.identity = identity;
    // All files lie in the one folder, whose sync covers every name.
    this.log = new WriteAheadLog(path);
    this.snapshots = new SnapshotStore(path);
  }

  /**
   * Opens a folder. A new folder gets a new incarnation, which is on disk
   * before anyone hears of it.
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

  /** True if the folder holds a founding or anything later. */
  get isFounded(): boolean {
    for (const stored of this.#stored.values()) {
      if (stored.snapshot !== undefined || stored.entries.length > 0) {
        return true;
      }
    }
    return false;
  }

  /** What the folder held for a group. */
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

  /** Writes the founding of a group. */
  async saveFounding(group: number, members: readonly Member[]): Promise<void> {
    const point = { group, lastIndex: 0, lastTerm: 0, members };
    await this.saveSnapshot({ ...point, parts: [] });
    const stored = this.getStored(group);
    const snapshot = { ...point, state: Buffer.alloc(0) };
    this.#stored.set(group, { ...stored, snapshot });
  }

  /** Saves a snapshot of the own state and drops what it makes superfluous. */
  async saveSnapshot(snapshot: SnapshotContent): Promise<void> {
    await this.#snapshotTurns.run(async () => {
      if (!await this.#saveIfNewer(snapshot)) return;
      await this.log.prune(this.#snapshotIndexes);
    });
  }

  /** Saves a snapshot that replaces the whole log of its group. */
  async installSnapshot(snapshot: Snapshot): Promise<void> {
    const { state, ...point } = snapshot;
    const { group, lastIndex } = point;
    await this.#snapshotTurns.run(async () => {
      if (!await this.#saveIfNewer({ ...point, parts: [state] })) return;
      // Pruning waits for the reset: until then the entry at the snapshot's
      // index is needed to tell whether later entries follow from it.
      await this.log.append([{ kind: "reset", group, index: lastIndex }]);
      await this.log.prune(this.#snapshotIndexes);
    });
  }

  /** Waits a while for a snapshot that is being written, then closes the log. */
  async close(): Promise<void> {
    await waitAtMost(this.#snapshotTurns.idle, CLOSE_MILLISECONDS);
    await this.log.close();
  }

  async #saveIfNewer(snapshot: SnapshotContent): Promise<boolean> {
    const known = this.#snapshotIndexes.get(snapshot.group) ?? -1;
    if (snapshot.lastIndex <= known) return false;
    await this.snapshots.save(snapshot);
    this.#snapshotIndexes.set(snapshot.group, snapshot.lastIndex);
    return true;
  }

  #loadGroup(group: number, records: readonly LogRecord[]): void {
    const snapshot = this.snapshots.load(group);
    const base = snapshot?.lastIndex ?? 0;
    if (snapshot !== undefined) this.#snapshotIndexes.set(group, base);
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
        replaceFrom(entries, record.entry);
      }
    }
    if (!followsFrom(snapshot, entries)) entries = [];
    entries = entries.filter((entry) => entry.index > base);
    const first = entries[0];
    if (first !== undefined && first.index !== base + 1) {
      throw new Error(`Log of group ${group} lacks entries after ${base}`);
    }
    this.#stored.set(group, { group, term, votedFor, snapshot, entries });
  }
}

function replaceFrom(entries: LogEntry[], entry: LogEntry): void {
  // A segment may be missing before this one, so positions tell no index.
  while ((entries.at(-1)?.index ?? -Infinity) >= entry.index) entries.pop();
  entries.push(entry);
}

/**
 * After a crash between the install of a snapshot and the reset of the log,
 * the log may hold entries of another history than the snapshot's.
 */
function followsFrom(
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
  if (!READABLE_VERSIONS.includes(found.format)) {
    throw new Error(
      `Data folder has format ${found.format}, not ${FORMAT_VERSION}`,
    );
  }
  const identity = { replicaId, incarnation: found.incarnation };
  return { identity, format: found.format };
}

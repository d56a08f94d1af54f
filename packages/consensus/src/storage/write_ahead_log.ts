/**
 * The log on disk, shared by all groups of a replica, so that one sync
 * serves whatever every group has written meanwhile.
 */

import { Buffer } from "node:buffer";
import {
  constants,
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  truncateSync,
} from "node:fs";
import { type FileHandle, open, unlink } from "node:fs/promises";
import { join } from "node:path";
import { createDeferred, type Deferred, type LogEntry } from "@mallowlift/core";
import { syncFolder } from "./durable_file.ts";
import { encodeRecord, scanRecords } from "./record.ts";

const SEGMENT_BYTES = 16 * 1_024 * 1_024;
/** A batch counts only after an explicit sync: not every disk honours O_DSYNC. */
const APPEND = constants.O_WRONLY | constants.O_APPEND | constants.O_CREAT;
const SEGMENT_PATTERN = /^log-(\d{10})$/;

/** An appended entry; one with an index seen before replaces that and all later ones. */
export interface EntryRecord {
  readonly kind: "entry";
  readonly group: number;
  readonly entry: LogEntry;
}

/** The term and the vote of one group. */
export interface VoteRecord {
  readonly kind: "vote";
  readonly group: number;
  readonly term: number;
  readonly votedFor: string;
}

/** All earlier entries of the group are void: a snapshot was installed. */
export interface ResetRecord {
  readonly kind: "reset";
  readonly group: number;
  readonly index: number;
}

/** One record of the log on disk. */
export type LogRecord = EntryRecord | VoteRecord | ResetRecord;

/**
 * Records that are synced together. One checksum covers them all: power may
 * take the start of a write and leave its end, which must count as torn.
 */
interface BatchRecord {
  readonly kind: "batch";
  readonly records: readonly LogRecord[];
}

interface Segment {
  readonly path: string;
  readonly number: number;
  /** Highest entry index of each group in the segment. */
  readonly lastIndexes: Map<number, number>;
}

const NEVER = new Promise<void>(() => undefined);

/** Appends records and syncs them in batches. */
export class WriteAheadLog {
  readonly #folder: string;
  readonly #segments: Segment[] = [];
  readonly #votes = new Map<number, VoteRecord>();
  readonly #failed: Deferred<Error> = createDeferred<Error>();
  #handle: FileHandle | undefined;
  #size = 0;
  #waiting: LogRecord[] = [];
  #synced: Deferred<void> = createDeferred<void>();
  /** Resolves when all that was taken for writing is synced. */
  #inFlight: Promise<void> = Promise.resolve();
  #writing = false;
  #closed = false;
  #broken = false;

  constructor(folder: string) {
    this.#folder = folder;
  }

  /** Resolves with the error that made the disk unusable. */
  get failed(): Promise<Error> {
    return this.#failed.promise;
  }

  /**
   * Reads every record and opens the log for appending. A torn tail is cut
   * back to the last whole record; damage before that throws.
   */
  async open(): Promise<readonly LogRecord[]> {
    mkdirSync(this.#folder, { recursive: true });
    const names = readdirSync(this.#folder).filter((name) =>
      SEGMENT_PATTERN.test(name)
    ).sort();
    const records: LogRecord[] = [];
    for (const [position, name] of names.entries()) {
      const isLast = position === names.length - 1;
      records.push(...this.#readSegment(name, isLast));
    }
    if (this.#segments.length === 0) await this.#startSegment(1);
    else await this.#reopenLast();
    return records;
  }

  /** Appends records; resolves when they are synced. */
  append(records: readonly LogRecord[]): Promise<void> {
    // A message that comes during a planned stop must neither count nor fail
    // the daemon.
    if (this.#closed) return NEVER;
    if (records.length === 0 && this.#waiting.length === 0) {
      return this.#inFlight;
    }
    this.#waiting.push(...records);
    const synced = this.#synced.promise;
    if (!this.#writing) void this.#writeAll();
    return synced;
  }

  /** Removes segments that snapshots have made superfluous. */
  async prune(snapshotIndexes: ReadonlyMap<number, number>): Promise<void> {
    while (this.#segments.length > 1) {
      const oldest = this.#segments[0];
      if (oldest === undefined || !isCovered(oldest, snapshotIndexes)) return;
      this.#segments.shift();
      await unlink(oldest.path);
    }
  }

  /** Writes what waits and closes the file. */
  async close(): Promise<void> {
    this.#closed = true;
    while (this.#writing && !this.#broken) {
      await Promise.race([this.#synced.promise, this.#failed.promise]);
    }
    await this.#handle?.close();
    this.#handle = undefined;
  }

  #readSegment(name: string, isLast: boolean): readonly LogRecord[] {
    const path = join(this.#folder, name);
    const number = Number(SEGMENT_PATTERN.exec(name)?.[1]);
    const file = readFileSync(path);
    const scanned = scanRecords(file);
    const torn = scanned.end < file.length;
    if (scanned.damagedInside || (torn && !isLast)) {
      throw new Error(`Log segment ${name} is damaged at byte ${scanned.end}`);
    }
    if (torn) truncateSync(path, scanned.end);
    const segment: Segment = { path, number, lastIndexes: new Map() };
    this.#segments.push(segment);
    const records = listRecords(
      scanned.values as readonly (LogRecord | BatchRecord)[],
    );
    for (const record of records) this.#note(segment, record);
    return records;
  }

  #note(segment: Segment, record: LogRecord): void {
    if (record.kind === "vote") this.#votes.set(record.group, record);
    if (record.kind !== "entry") return;
    const known = segment.lastIndexes.get(record.group) ?? 0;
    segment.lastIndexes.set(record.group, Math.max(known, record.entry.index));
  }

  async #startSegment(number: number): Promise<void> {
    await this.#handle?.close();
    const name = `log-${String(number).padStart(10, "0")}`;
    const path = join(this.#folder, name);
    this.#handle = await open(path, APPEND);
    await syncFolder(this.#folder);
    this.#segments.push({ path, number, lastIndexes: new Map() });
    this.#size = 0;
    // Older segments may be pruned, so each one repeats the votes in force.
    const votes = [...this.#votes.values()];
    if (votes.length === 0) return;
    const bytes = encodeBatch(votes);
    await writeWhole(this.#handle, bytes);
    await this.#handle.datasync();
    this.#size = bytes.length;
  }

  async #reopenLast(): Promise<void> {
    const last = this.#segments.at(-1);
    if (last === undefined) return;
    this.#handle = await open(last.path, APPEND);
    this.#size = (await this.#handle.stat()).size;
    await this.#handle.datasync();
  }

  async #writeAll(): Promise<void> {
    this.#writing = true;
    try {
      while (this.#waiting.length > 0) await this.#writeBatch();
    } catch (thrown) {
      // After a failed sync nobody knows what is on disk, so nothing may count.
      this.#broken = true;
      this.#failed.resolve(
        thrown instanceof Error ? thrown : new Error(String(thrown)),
      );
      return;
    }
    this.#writing = false;
    if (this.#closed) this.#synced.resolve(undefined);
  }

  async #writeBatch(): Promise<void> {
    if (this.#size > SEGMENT_BYTES) {
      await this.#startSegment((this.#segments.at(-1)?.number ?? 0) + 1);
    }
    const batch = this.#waiting;
    const synced = this.#synced;
    this.#waiting = [];
    this.#inFlight = synced.promise;
    this.#synced = createDeferred<void>();
    const segment = this.#segments.at(-1);
    const handle = this.#handle;
    if (segment === undefined || handle === undefined) {
      throw new Error("The log is not open");
    }
    const bytes = encodeBatch(batch);
    for (const record of batch) this.#note(segment, record);
    await writeWhole(handle, bytes);
    await handle.datasync();
    this.#size += bytes.length;
    synced.resolve(undefined);
  }
}

function encodeBatch(records: readonly LogRecord[]): Buffer {
  const [only] = records;
  if (records.length === 1 && only !== undefined) return encodeRecord(only);
  const batch: BatchRecord = { kind: "batch", records };
  return encodeRecord(batch);
}

function listRecords(
  values: readonly (LogRecord | BatchRecord)[],
): readonly LogRecord[] {
  const records: LogRecord[] = [];
  for (const value of values) {
    if (value.kind === "batch") records.push(...value.records);
    else records.push(value);
  }
  return records;
}

/** A write may take only a part of the bytes. */
async function writeWhole(handle: FileHandle, bytes: Buffer): Promise<void> {
  let written = 0;
  while (written < bytes.length) {
    written += (await handle.write(bytes, written)).bytesWritten;
  }
}

/** Returns true if a folder holds a log. */
export function hasLog(folder: string): boolean {
  if (!existsSync(folder)) return false;
  return readdirSync(folder).some((name) => SEGMENT_PATTERN.test(name));
}

function isCovered(
  segment: Segment,
  snapshotIndexes: ReadonlyMap<number, number>,
): boolean {
  for (const [group, lastIndex] of segment.lastIndexes) {
    if (lastIndex > (snapshotIndexes.get(group) ?? 0)) return false;
  }
  return true;
}

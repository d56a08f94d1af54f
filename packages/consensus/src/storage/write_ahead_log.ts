/**
 * Write-ahead log on disk. All groups of a replica share it, so that one sync
 * covers the records that all groups have written in the meantime.
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
/** O_DSYNC is not used, since not every disk honours it: each batch is synced explicitly. */
const APPEND_FLAGS = constants.O_WRONLY | constants.O_APPEND |
  constants.O_CREAT;
const SEGMENT_PATTERN = /^log-(\d{10})$/;

/** An appended entry. It replaces any earlier entries of its index and above. */
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

/** Invalidates all earlier entries of the group, since a snapshot was installed. */
export interface ResetRecord {
  readonly kind: "reset";
  readonly group: number;
  readonly index: number;
}

/** One record of the log on disk. */
export type LogRecord = EntryRecord | VoteRecord | ResetRecord;

/**
 * Records that are synced together under one checksum. A power loss may destroy
 * the start of a write and leave its end intact, and the whole batch must then
 * be treated as torn.
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

/** Appends records to segment files and syncs them in batches. */
export class WriteAheadLog {
  readonly #folder: string;
  readonly #segments: Segment[] = [];
  readonly #votes = new Map<number, VoteRecord>();
  readonly #failed: Deferred<Error> = createDeferred<Error>();
  #handle: FileHandle | undefined;
  #size = 0;
  #pending: LogRecord[] = [];
  #synced: Deferred<void> = createDeferred<void>();
  /** Resolves when the batch that was started last is synced. */
  #inFlight: Promise<void> = Promise.resolve();
  #writing = false;
  #closed = false;
  #broken = false;

  constructor(folder: string) {
    this.#folder = folder;
  }

  /** Resolves with the error of the write or sync after which the log can't be used. */
  get failed(): Promise<Error> {
    return this.#failed.promise;
  }

  /**
   * Reads every record and opens the log for appending. A torn tail is
   * truncated to the last complete record; corruption before that throws.
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

  /**
   * Appends records; resolves when they are synced, and never if the log is
   * closed or a write or sync has failed.
   */
  append(records: readonly LogRecord[]): Promise<void> {
    // A message that arrives during a planned stop must neither be acknowledged
    // nor fail the daemon.
    if (this.#closed) return NEVER;
    if (records.length === 0 && this.#pending.length === 0) {
      return this.#inFlight;
    }
    this.#pending.push(...records);
    const synced = this.#synced.promise;
    if (!this.#writing) void this.#writePending();
    return synced;
  }

  /** Removes the oldest segments, as far as snapshots cover their entries. */
  async prune(snapshotIndexes: ReadonlyMap<number, number>): Promise<void> {
    while (this.#segments.length > 1) {
      const oldest = this.#segments[0];
      if (
        oldest === undefined || !isCoveredBySnapshots(oldest, snapshotIndexes)
      ) return;
      this.#segments.shift();
      await unlink(oldest.path);
    }
  }

  /** Writes the pending records and closes the file. */
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
    const isTorn = scanned.end < file.length;
    if (scanned.isCorrupted || (isTorn && !isLast)) {
      throw new Error(`Log segment ${name} is damaged at byte ${scanned.end}`);
    }
    if (isTorn) truncateSync(path, scanned.end);
    const segment: Segment = { path, number, lastIndexes: new Map() };
    this.#segments.push(segment);
    const records = unpackBatches(
      scanned.values as readonly (LogRecord | BatchRecord)[],
    );
    for (const record of records) this.#trackRecord(segment, record);
    return records;
  }

  #trackRecord(segment: Segment, record: LogRecord): void {
    if (record.kind === "vote") this.#votes.set(record.group, record);
    if (record.kind !== "entry") return;
    const highestIndex = segment.lastIndexes.get(record.group) ?? 0;
    segment.lastIndexes.set(
      record.group,
      Math.max(highestIndex, record.entry.index),
    );
  }

  async #startSegment(number: number): Promise<void> {
    await this.#handle?.close();
    const name = `log-${String(number).padStart(10, "0")}`;
    const path = join(this.#folder, name);
    this.#handle = await open(path, APPEND_FLAGS);
    await syncFolder(this.#folder);
    this.#segments.push({ path, number, lastIndexes: new Map() });
    this.#size = 0;
    // Older segments may be pruned, so each new segment repeats the latest votes.
    const votes = [...this.#votes.values()];
    if (votes.length === 0) return;
    const bytes = encodeBatch(votes);
    await writeFully(this.#handle, bytes);
    await this.#handle.datasync();
    this.#size = bytes.length;
  }

  async #reopenLast(): Promise<void> {
    const last = this.#segments.at(-1);
    if (last === undefined) return;
    this.#handle = await open(last.path, APPEND_FLAGS);
    this.#size = (await this.#handle.stat()).size;
    await this.#handle.datasync();
  }

  async #writePending(): Promise<void> {
    this.#writing = true;
    try {
      while (this.#pending.length > 0) await this.#writeBatch();
    } catch (thrown) {
      // After a failed sync the content of the disk is unknown, so no later record
      // may be acknowledged.
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
    const batch = this.#pending;
    const synced = this.#synced;
    this.#pending = [];
    this.#inFlight = synced.promise;
    this.#synced = createDeferred<void>();
    const segment = this.#segments.at(-1);
    const handle = this.#handle;
    if (segment === undefined || handle === undefined) {
      throw new Error("Log is not open");
    }
    const bytes = encodeBatch(batch);
    for (const record of batch) this.#trackRecord(segment, record);
    await writeFully(handle, bytes);
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

function unpackBatches(
  values: readonly (LogRecord | BatchRecord)[],
): readonly LogRecord[] {
  const records: LogRecord[] = [];
  for (const value of values) {
    if (value.kind === "batch") records.push(...value.records);
    else records.push(value);
  }
  return records;
}

/** Writes all bytes, since a single call may write only some of them. */
async function writeFully(handle: FileHandle, bytes: Buffer): Promise<void> {
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

function isCoveredBySnapshots(
  segment: Segment,
  snapshotIndexes: ReadonlyMap<number, number>,
): boolean {
  for (const [group, lastIndex] of segment.lastIndexes) {
    if (lastIndex > (snapshotIndexes.get(group) ?? 0)) return false;
  }
  return true;
}

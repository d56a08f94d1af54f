/** Snapshots on disk, one file per group. */

import { Buffer } from "node:buffer";
import { existsSync, mkdirSync, readFileSync } from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { join } from "node:path";
import { setImmediate as nextTurn } from "node:timers/promises";
import { crc32 } from "node:zlib";
import type { Member } from "@mallowlift/core";
import { replaceFile } from "./durable_file.ts";
import { encodeRecord, readRecord } from "./record.ts";

/** Bytes that hold the record before the state, at most: it names the members. */
const MAX_HEADER_BYTES = 65_536;

/**
 * Bytes that are made and summed up in one go: a few ms of a whole core, so that
 * heartbeats get through on a tenth of one.
 */
const SUMMED_BYTES = 65_536;

/** Which state of a group a snapshot holds: the one after its entry `lastIndex`. */
export interface SnapshotPoint {
  readonly group: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: readonly Member[];
}

/** A snapshot with the state in memory. */
export interface Snapshot extends SnapshotPoint {
  /** State machine, in its own encoding; empty before the first command. */
  readonly state: Uint8Array;
}

/** A snapshot to be written. */
export interface SnapshotContent extends SnapshotPoint {
  /** State machine, in parts that follow each other; gone through once. */
  readonly parts: Iterable<Uint8Array>;
}

/** First record of a file; the state follows it as it is. */
interface SnapshotHeader extends SnapshotPoint {
  readonly stateBytes: number;
  readonly stateChecksum: number;
}

/** A snapshot that is read from its file piece by piece. */
export class StoredSnapshot {
  readonly point: SnapshotPoint;
  /** Size of the state, bytes. */
  readonly size: number;
  readonly #handle: FileHandle;
  readonly #stateOffset: number;

  constructor(
    header: SnapshotHeader,
    file: { readonly handle: FileHandle; readonly stateOffset: number },
  ) {
    const { stateBytes, stateChecksum: _checksum, ...point } = header;
    this.point = point;
    this.size = stateBytes;
    this.#handle = file.handle;
    this.#stateOffset = file.stateOffset;
  }

  /** Reads a piece of the state; throws if the file is shorter. */
  async read(offset: number, length: number): Promise<Uint8Array> {
    const piece = Buffer.alloc(Math.min(length, this.size - offset));
    let done = 0;
    while (done < piece.length) {
      const { bytesRead } = await this.#handle.read(
        piece,
        done,
        piece.length - done,
        this.#stateOffset + offset + done,
      );
      if (bytesRead === 0) throw new Error("The snapshot is cut short");
      done += bytesRead;
    }
    return piece;
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.#handle.close();
  }
}

/** Saves and loads snapshots. */
export class SnapshotStore {
  readonly #folder: string;

  constructor(folder: string) {
    this.#folder = folder;
    mkdirSync(folder, { recursive: true });
  }

  /** Loads the snapshot of a group; throws if the file is damaged. */
  load(group: number): Snapshot | undefined {
    const path = this.#findPath(group);
    if (!existsSync(path)) return undefined;
    const file = readFileSync(path);
    const found = readRecord(file, 0);
    const damaged = new Error(`Snapshot of group ${group} is damaged`);
    if (found === undefined) throw damaged;
    const { stateBytes, stateChecksum, ...point } = found
      .value as SnapshotHeader;
    const state = file.subarray(found.end, found.end + stateBytes);
    if (state.length < stateBytes || crc32(state) !== stateChecksum) {
      throw damaged;
    }
    return { ...point, state };
  }

  /** Brings a snapshot of format 2, which is one record, into the newest one. */
  async convert(group: number): Promise<void> {
    const path = this.#findPath(group);
    if (!existsSync(path)) return;
    const found = readRecord(readFileSync(path), 0);
    const value = found?.value as Partial<Snapshot> | undefined;
    if (value?.state === undefined) return;
    const { state, ...point } = value as Snapshot;
    await this.save({ ...point, parts: [state] });
  }

  /**
   * Opens the snapshot of a group for reading; it stays readable when a newer
   * one takes its place. Undefined if there is none.
   */
  async open(group: number): Promise<StoredSnapshot | undefined> {
    const path = this.#findPath(group);
    if (!existsSync(path)) return undefined;
    const handle = await open(path, "r");
    const start = Buffer.alloc(MAX_HEADER_BYTES);
    const { bytesRead } = await handle.read(start, 0, start.length, 0);
    const found = readRecord(start.subarray(0, bytesRead), 0);
    if (found === undefined) {
      await handle.close();
      throw new Error(`Snapshot of group ${group} is damaged`);
    }
    return new StoredSnapshot(found.value as SnapshotHeader, {
      handle,
      stateOffset: found.end,
    });
  }

  /** Saves a snapshot in place of the earlier one. */
  async save(snapshot: SnapshotContent): Promise<void> {
    const { parts: made, ...point } = snapshot;
    const { parts, stateBytes, stateChecksum } = await sumUp(made);
    const header: SnapshotHeader = { ...point, stateBytes, stateChecksum };
    await replaceFile(this.#findPath(snapshot.group), [
      encodeRecord(header),
      ...parts,
    ]);
  }

  #findPath(group: number): string {
    return join(this.#folder, `group-${group}`);
  }
}

/** What a state comes to once all its parts are made. */
interface SummedState {
  readonly parts: readonly Uint8Array[];
  readonly stateBytes: number;
  readonly stateChecksum: number;
}

async function sumUp(made: Iterable<Uint8Array>): Promise<SummedState> {
  const parts: Uint8Array[] = [];
  let stateBytes = 0;
  let stateChecksum = 0;
  let unheard = 0;
  for (const part of made) {
    parts.push(part);
    stateBytes += part.length;
    stateChecksum = crc32(part, stateChecksum);
    unheard += part.length;
    if (unheard < SUMMED_BYTES) continue;
    await nextTurn();
    unheard = 0;
  }
  return { parts, stateBytes, stateChecksum };
}

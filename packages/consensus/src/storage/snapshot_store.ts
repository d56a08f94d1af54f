/** Stores snapshots on disk, one file per group. */

import { Buffer } from "node:buffer";
import { existsSync, mkdirSync, readFileSync } from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { join } from "node:path";
import { setImmediate as yieldToEventLoop } from "node:timers/promises";
import { crc32 } from "node:zlib";
import type { Member } from "@mallowlift/core";
import { replaceFile } from "./durable_file.ts";
import { encodeRecord, readRecord } from "./record.ts";

/** Largest size of the header record, which lists the members, bytes. */
const MAX_HEADER_BYTES = 65_536;

/**
 * Bytes of state that are encoded and checksummed before yielding to the event
 * loop. They take a few ms on a full core, so that heartbeats are sent in time
 * even on a tenth of a core.
 */
const YIELD_INTERVAL_BYTES = 65_536;

/** Metadata of a snapshot, which holds the state after the entry `lastIndex`. */
export interface SnapshotMetadata {
  readonly group: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: readonly Member[];
}

/** A snapshot whose state is in memory. */
export interface Snapshot extends SnapshotMetadata {
  /** State in the encoding of the state machine; empty before the first command. */
  readonly state: Uint8Array;
}

/** A snapshot that is to be saved. */
export interface NewSnapshot extends SnapshotMetadata {
  /** Encoded state in consecutive parts; iterated once. */
  readonly parts: Iterable<Uint8Array>;
}

/** First record of a snapshot file; the raw bytes of the state follow it. */
interface SnapshotHeader extends SnapshotMetadata {
  readonly stateBytes: number;
  readonly stateChecksum: number;
}

/** An open snapshot file that is read in chunks. */
export class StoredSnapshot {
  readonly metadata: SnapshotMetadata;
  /** Size of the state, bytes. */
  readonly size: number;
  readonly #handle: FileHandle;
  readonly #stateOffset: number;

  constructor(
    header: SnapshotHeader,
    file: { readonly handle: FileHandle; readonly stateOffset: number },
  ) {
    const { stateBytes, stateChecksum: _checksum, ...metadata } = header;
    this.metadata = metadata;
    this.size = stateBytes;
    this.#handle = file.handle;
    this.#stateOffset = file.stateOffset;
  }

  /** Reads a chunk of the state; throws if the file is truncated. */
  async read(offset: number, length: number): Promise<Uint8Array> {
    const chunk = Buffer.alloc(Math.min(length, this.size - offset));
    let bytesDone = 0;
    while (bytesDone < chunk.length) {
      const { bytesRead } = await this.#handle.read(
        chunk,
        bytesDone,
        chunk.length - bytesDone,
        this.#stateOffset + offset + bytesDone,
      );
      if (bytesRead === 0) throw new Error("Snapshot file is truncated");
      bytesDone += bytesRead;
    }
    return chunk;
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
    const { stateBytes, stateChecksum, ...metadata } = found
      .value as SnapshotHeader;
    const state = file.subarray(found.end, found.end + stateBytes);
    if (state.length < stateBytes || crc32(state) !== stateChecksum) {
      throw damaged;
    }
    return { ...metadata, state };
  }

  /** Converts a snapshot of format 2, which is a single record, to the current format. */
  async convert(group: number): Promise<void> {
    const path = this.#findPath(group);
    if (!existsSync(path)) return;
    const found = readRecord(readFileSync(path), 0);
    const value = found?.value as Partial<Snapshot> | undefined;
    if (value?.state === undefined) return;
    const { state, ...metadata } = value as Snapshot;
    await this.save({ ...metadata, parts: [state] });
  }

  /**
   * Opens the snapshot of a group for reading; undefined if there is none. It
   * stays readable after a newer snapshot replaces the file.
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

  /** Saves a snapshot, replacing the earlier one of its group. */
  async save(snapshot: NewSnapshot): Promise<void> {
    const { parts: lazyParts, ...metadata } = snapshot;
    const { parts, stateBytes, stateChecksum } = await encodeState(lazyParts);
    const header: SnapshotHeader = { ...metadata, stateBytes, stateChecksum };
    await replaceFile(this.#findPath(snapshot.group), [
      encodeRecord(header),
      ...parts,
    ]);
  }

  #findPath(group: number): string {
    return join(this.#folder, `group-${group}`);
  }
}

/** Encoded parts of a state with their total size and checksum. */
interface EncodedState {
  readonly parts: readonly Uint8Array[];
  readonly stateBytes: number;
  readonly stateChecksum: number;
}

/** Encodes a state part by part, and yields to the event loop in between. */
async function encodeState(
  lazyParts: Iterable<Uint8Array>,
): Promise<EncodedState> {
  const parts: Uint8Array[] = [];
  let stateBytes = 0;
  let stateChecksum = 0;
  let bytesSinceYield = 0;
  for (const part of lazyParts) {
    parts.push(part);
    stateBytes += part.length;
    stateChecksum = crc32(part, stateChecksum);
    bytesSinceYield += part.length;
    if (bytesSinceYield < YIELD_INTERVAL_BYTES) continue;
    await yieldToEventLoop();
    bytesSinceYield = 0;
  }
  return { parts, stateBytes, stateChecksum };
}

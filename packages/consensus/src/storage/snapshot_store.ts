/** Snapshots on disk, one file per group. */

import { existsSync, mkdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { Member } from "@mallowlift/core";
import { replaceFile } from "./durable_file.ts";
import { encodeRecord, readRecord } from "./record.ts";

/** The state of a group after its entry `lastIndex`. */
export interface Snapshot {
  readonly group: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly members: readonly Member[];
  /** State machine, in its own encoding; empty before the first command. */
  readonly state: Uint8Array;
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
    const found = readRecord(readFileSync(path), 0);
    if (found === undefined) {
      throw new Error(`Snapshot of group ${group} is damaged`);
    }
    return found.value as Snapshot;
  }

  /** Saves a snapshot in place of the earlier one. */
  async save(snapshot: Snapshot): Promise<void> {
    await replaceFile(this.#findPath(snapshot.group), encodeRecord(snapshot));
  }

  #findPath(group: number): string {
    return join(this.#folder, `group-${group}`);
  }
}

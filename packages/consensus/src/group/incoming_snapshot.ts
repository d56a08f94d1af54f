/** Assembles a snapshot from the chunks that a leader sends. */

import { Buffer } from "node:buffer";
import type { SnapshotRequest } from "@mallowlift/core";
import type { Snapshot } from "../storage/snapshot_store.ts";

/**
 * Identifies the snapshot that a chunk belongs to, and by its term the leader
 * that sent it.
 */
type SnapshotKey = Pick<SnapshotRequest, "term" | "lastIndex" | "size">;

/**
 * Received chunks, copied into a buffer with the size of the whole snapshot.
 */
export class IncomingSnapshot {
  #state = Buffer.alloc(0);
  #received = 0;
  #key: SnapshotKey | undefined;

  /**
   * Adds a chunk. A chunk at offset 0 starts a new snapshot.
   *
   * @returns false if the chunk does not continue the received ones
   */
  addChunk(request: SnapshotRequest): boolean {
    const { offset, part, size, term, lastIndex } = request;
    if (offset === 0) {
      this.#state = Buffer.alloc(size);
      this.#received = 0;
      this.#key = { term, lastIndex, size };
    }
    const fits = offset + part.length <= this.#state.length;
    if (offset !== this.#received || !fits) return false;
    if (!this.#isSameSnapshot(request)) return false;
    this.#state.set(part, offset);
    this.#received += part.length;
    return true;
  }

  /** Returns the complete snapshot; `request` is its last chunk. */
  finish(request: SnapshotRequest): Snapshot {
    const state = this.#state.subarray(0, this.#received);
    this.#state = Buffer.alloc(0);
    this.#key = undefined;
    const { group, lastIndex, lastTerm, members } = request;
    return { group, lastIndex, lastTerm, members, state };
  }

  /**
   * Guards against a delayed chunk of another snapshot that happens to match
   * the offset.
   */
  #isSameSnapshot({ term, lastIndex, size }: SnapshotKey): boolean {
    const key = this.#key;
    return key?.term === term && key.lastIndex === lastIndex &&
      key.size === size;
  }
}

/** Puts the chunks of a snapshot together. */

import { Buffer } from "node:buffer";
import type { SnapshotRequest } from "@mallowlift/core";
import type { Snapshot } from "../storage/snapshot_store.ts";

/** Which snapshot a chunk belongs to, and from whom it came. */
type SnapshotKey = Pick<SnapshotRequest, "term" | "lastIndex" | "size">;

/** Chunks that have come so far, in the memory that the whole will take. */
export class IncomingSnapshot {
  #state = Buffer.alloc(0);
  #received = 0;
  #key: SnapshotKey | undefined;

  /**
   * Takes a chunk.
   *
   * @returns false if it does not follow on what has come so far
   */
  take(request: SnapshotRequest): boolean {
    const { offset, part, size, term, lastIndex } = request;
    if (offset === 0) {
      this.#state = Buffer.alloc(size);
      this.#received = 0;
      this.#key = { term, lastIndex, size };
    }
    const fits = offset + part.length <= this.#state.length;
    if (offset !== this.#received || !fits) return false;
    if (!this.#isSame(request)) return false;
    this.#state.set(part, offset);
    this.#received += part.length;
    return true;
  }

  /** Returns the snapshot that ends with this chunk. */
  finish(request: SnapshotRequest): Snapshot {
    const state = this.#state.subarray(0, this.#received);
    this.#state = Buffer.alloc(0);
    this.#key = undefined;
    const { group, lastIndex, lastTerm, members } = request;
    return { group, lastIndex, lastTerm, members, state };
  }

  /** A late chunk of another snapshot may fit by its offset. */
  #isSame({ term, lastIndex, size }: SnapshotKey): boolean {
    const key = this.#key;
    return key?.term === term && key.lastIndex === lastIndex &&
      key.size === size;
  }
}

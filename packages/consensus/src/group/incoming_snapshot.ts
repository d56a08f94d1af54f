/** Puts the parts of a snapshot together. */

import { Buffer } from "node:buffer";
import type { SnapshotRequest } from "@mallowlift/core";
import type { Snapshot } from "../storage/snapshot_store.ts";

/** Parts that have come so far, in the memory that the whole will take. */
export class IncomingSnapshot {
  #state = Buffer.alloc(0);
  #received = 0;

  /**
   * Takes a part.
   *
   * @returns false if it does not follow on what has come so far
   */
  take(request: SnapshotRequest): boolean {
    const { offset, part, size } = request;
    if (offset === 0) {
      this.#state = Buffer.alloc(size);
      this.#received = 0;
    }
    const fits = offset + part.length <= this.#state.length;
    if (offset !== this.#received || !fits) return false;
    this.#state.set(part, offset);
    this.#received += part.length;
    return true;
  }

  /** Returns the snapshot that ends with this part. */
  finish(request: SnapshotRequest): Snapshot {
    const state = this.#state.subarray(0, this.#received);
    this.#state = Buffer.alloc(0);
    const { group, lastIndex, lastTerm, members } = request;
    return { group, lastIndex, lastTerm, members, state };
  }
}

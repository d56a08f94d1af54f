/** Puts the parts of a snapshot together. */

import { Buffer } from "node:buffer";
import type { SnapshotRequest } from "@mallowlift/core";
import type { Snapshot } from "../storage/snapshot_store.ts";

/** Parts that have come so far. */
export class IncomingSnapshot {
  #parts: Buffer[] = [];
  #received = 0;

  /**
   * Takes a part.
   *
   * @returns false if it does not follow on what has come so far
   */
  take(request: SnapshotRequest): boolean {
    if (request.offset === 0) {
      this.#parts = [];
      this.#received = 0;
    }
    if (request.offset !== this.#received) return false;
    this.#parts.push(Buffer.from(request.part));
    this.#received += request.part.length;
    return true;
  }

  /** Returns the snapshot that ends with this part. */
  finish(request: SnapshotRequest): Snapshot {
    const state = Buffer.concat(this.#parts);
    this.#parts = [];
    this.#received = 0;
    const { group, lastIndex, lastTerm, members } = request;
    return { group, lastIndex, lastTerm, members, state };
  }
}

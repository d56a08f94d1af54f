/** Sends a snapshot to a member that lacks entries the leader no longer has. */

import {
  fail,
  type Outcome,
  type ReplicaIdentity,
  RESULT_CODES,
  type SnapshotReply,
} from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";
import type { Snapshot } from "../storage/snapshot_store.ts";

const PART_BYTES = 262_144;
const PART_TIMEOUT_MILLISECONDS = 5_000;

/** Where a snapshot goes, and from whom. */
export interface SnapshotTarget {
  readonly caller: Caller;
  readonly term: number;
  readonly from: ReplicaIdentity;
  readonly toIncarnation: string;
  /** False once the sender no longer leads. */
  isWanted(): boolean;
}

/** Sends a snapshot in parts and returns the answer to the last one. */
export async function sendSnapshot(
  snapshot: Snapshot,
  target: SnapshotTarget,
): Promise<Outcome<SnapshotReply>> {
  let offset = 0;
  while (target.isWanted()) {
    const part = snapshot.state.subarray(offset, offset + PART_BYTES);
    const last = offset + part.length >= snapshot.state.length;
    const reply = await target.caller.call("consensus.snapshot", {
      group: snapshot.group,
      term: target.term,
      from: target.from,
      toIncarnation: target.toIncarnation,
      lastIndex: snapshot.lastIndex,
      lastTerm: snapshot.lastTerm,
      members: snapshot.members,
      offset,
      part,
      last,
    }, { timeoutMilliseconds: PART_TIMEOUT_MILLISECONDS });
    if (reply.err || last) return reply;
    if (!reply.val.accepted) {
      return fail(RESULT_CODES.NOT_LEADER, "The member refused the snapshot");
    }
    offset += part.length;
  }
  return fail(RESULT_CODES.NOT_LEADER, "The sender no longer leads");
}

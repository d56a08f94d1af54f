/** Sends a snapshot to a member that lacks entries the leader no longer has. */

import {
  describeThrown,
  fail,
  type Outcome,
  type ReplicaIdentity,
  RESULT_CODES,
  type SnapshotReply,
} from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";
import { Err } from "ts-results";
import type { StoredSnapshot } from "../storage/snapshot_store.ts";

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

/** Sends a snapshot part by part from its file; returns the answer to the last. */
export async function sendSnapshot(
  snapshot: StoredSnapshot,
  target: SnapshotTarget,
): Promise<Outcome<SnapshotReply>> {
  let offset = 0;
  while (target.isWanted()) {
    const part = await snapshot.read(offset, PART_BYTES).catch(describeThrown);
    if ("code" in part) return Err(part);
    const last = offset + part.length >= snapshot.size;
    const reply = await target.caller.call("consensus.snapshot", {
      ...snapshot.point,
      term: target.term,
      from: target.from,
      toIncarnation: target.toIncarnation,
      size: snapshot.size,
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

/** Sends a snapshot to a member that lacks entries which the leader has dropped. */

import {
  fail,
  type Outcome,
  type ReplicaIdentity,
  RESULT_CODES,
  type SnapshotReply,
  toCodedError,
} from "@mallowlift/core";
import type { PeerClient } from "@mallowlift/transport";
import { Err } from "ts-results";
import type { StoredSnapshot } from "../storage/snapshot_store.ts";

const CHUNK_BYTES = 262_144;
const CHUNK_TIMEOUT_MILLISECONDS = 5_000;
/** Limit on chunks in flight. */
const CHUNKS_IN_FLIGHT = 4;

/** Sender and receiver of a snapshot. */
export interface SnapshotTarget {
  readonly caller: PeerClient;
  readonly term: number;
  readonly from: ReplicaIdentity;
  readonly toIncarnation: string;
  /** Returns false once the sender no longer leads. */
  isStillLeading(): boolean;
}

/**
 * Sends a snapshot from its file in chunks, in order. Returns the reply to the
 * last chunk, or the first reply with a later term; fails on the first chunk that
 * is refused or not answered, and once the sender no longer leads.
 */
export async function sendSnapshot(
  snapshot: StoredSnapshot,
  target: SnapshotTarget,
): Promise<Outcome<SnapshotReply>> {
  const inFlight: Promise<Outcome<SnapshotReply>>[] = [];
  let offset = 0;
  while (target.isStillLeading()) {
    const chunk = await snapshot.read(offset, CHUNK_BYTES)
      .catch(toCodedError);
    if ("code" in chunk) return Err(chunk);
    const last = offset + chunk.length >= snapshot.size;
    inFlight.push(sendChunk(chunk, { snapshot, target, offset, last }));
    offset += chunk.length;
    const maxInFlight = last ? 0 : CHUNKS_IN_FLIGHT - 1;
    while (inFlight.length > maxInFlight) {
      const reply = await inFlight.shift() as Outcome<SnapshotReply>;
      if (reply.err) return reply;
      if (reply.val.term > target.term) return reply;
      if (!reply.val.accepted) {
        return fail(RESULT_CODES.NOT_LEADER, "The member refused the snapshot");
      }
      if (last && inFlight.length === 0) return reply;
    }
  }
  return fail(RESULT_CODES.NOT_LEADER, "The sender no longer leads");
}

function sendChunk(
  chunk: Uint8Array,
  details: {
    readonly snapshot: StoredSnapshot;
    readonly target: SnapshotTarget;
    readonly offset: number;
    readonly last: boolean;
  },
): Promise<Outcome<SnapshotReply>> {
  const { snapshot, target, offset, last } = details;
  return target.caller.call("consensus.snapshot", {
    ...snapshot.metadata,
    term: target.term,
    from: target.from,
    toIncarnation: target.toIncarnation,
    size: snapshot.size,
    offset,
    part: chunk,
    last,
  }, { timeoutMilliseconds: CHUNK_TIMEOUT_MILLISECONDS });
}

import {
  createDeferred,
  type Deferred,
  fail,
  type Outcome,
  RESULT_CODES,
  type SnapshotReply,
  type SnapshotRequest,
} from "@mallowlift/core";
import type { PeerClient } from "@mallowlift/transport";
import { setImmediate as nextTurn } from "node:timers/promises";
import { test } from "tap";
import { Ok } from "ts-results";
import type { StoredSnapshot } from "../storage/snapshot_store.ts";
import { sendSnapshot } from "./send_snapshot.ts";

const CHUNK_BYTES = 262_144;
const TERM = 3;
const ACCEPTED: Outcome<SnapshotReply> = Ok({ term: TERM, accepted: true });
/** Event loop turns after which all chunks that may be sent have been sent. */
const EVENT_LOOP_TURNS = 50;

interface SentChunk {
  readonly offset: number;
  readonly last: boolean;
  readonly answer: Deferred<Outcome<SnapshotReply>>;
}

/** Starts the transfer of a snapshot; the test resolves the reply to each chunk. */
function startTransfer(chunks: number) {
  const size = chunks * CHUNK_BYTES - 1;
  const sent: SentChunk[] = [];
  const snapshot = {
    size,
    metadata: { group: 0, lastIndex: 9, lastTerm: 2, members: [] },
    read: (offset: number, length: number) =>
      Promise.resolve(new Uint8Array(Math.min(length, size - offset))),
  };
  const call = (_name: string, { offset, last }: SnapshotRequest) => {
    const answer = createDeferred<Outcome<SnapshotReply>>();
    sent.push({ offset, last, answer });
    return answer.promise;
  };
  const ended = sendSnapshot(snapshot as unknown as StoredSnapshot, {
    caller: { call: call as never } as unknown as PeerClient,
    term: TERM,
    from: { replicaId: "a", incarnation: "a" },
    toIncarnation: "b",
    isStillLeading: () => true,
  });
  return { sent, ended };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) await nextTurn();
}

// Guards against a transfer that waits for a round trip after each chunk.
test("several chunks of a snapshot are in flight at once", async (t) => {
  const { sent, ended } = startTransfer(10);
  await settle();
  t.equal(sent.length, 4, "only some chunks are in flight");
  for (let chunk = 0; chunk < 10; chunk++) {
    sent[chunk]?.answer.resolve(ACCEPTED);
    await settle();
  }
  t.same(
    sent.map(({ offset }) => offset),
    Array.from({ length: 10 }, (_, chunk) => chunk * CHUNK_BYTES),
    "each chunk is sent once, in order",
  );
  t.same(sent.filter(({ last }) => last).length, 1);
  t.ok((await ended).ok);
});

test("a refused chunk ends the transfer, also if it is the last", async (t) => {
  for (const refused of [0, 2]) {
    const { sent, ended } = startTransfer(3);
    await settle();
    for (const [number, { answer }] of sent.entries()) {
      const isRefused = number === refused;
      answer.resolve(
        isRefused ? Ok({ term: TERM, accepted: false }) : ACCEPTED,
      );
    }
    t.ok((await ended).err, `chunk ${refused}`);
  }
});

test("a reply with a later term is returned, and a lost reply ends the transfer", async (t) => {
  const newer = startTransfer(3);
  await settle();
  newer.sent[0]?.answer.resolve(Ok({ term: TERM + 1, accepted: false }));
  t.equal((await newer.ended).unwrap().term, TERM + 1);
  const lost = startTransfer(3);
  await settle();
  lost.sent[0]?.answer.resolve(fail(RESULT_CODES.TIMEOUT, "No answer"));
  t.ok((await lost.ended).err);
});

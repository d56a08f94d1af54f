import { Buffer } from "node:buffer";
import type { SnapshotRequest } from "@mallowlift/core";
import { test } from "tap";
import { IncomingSnapshot } from "./incoming_snapshot.ts";

function createChunk(
  text: string,
  offset: number,
  changed: Partial<SnapshotRequest> = {},
): SnapshotRequest {
  return {
    group: 0,
    term: 1,
    from: { replicaId: "a", incarnation: "a" },
    toIncarnation: "b",
    lastIndex: 5,
    lastTerm: 1,
    members: [],
    size: 6,
    offset,
    part: Buffer.from(text),
    last: offset + text.length === 6,
    ...changed,
  };
}

test("consecutive chunks make up the snapshot", (t) => {
  const incoming = new IncomingSnapshot();
  t.ok(incoming.addChunk(createChunk("abc", 0)));
  t.notOk(
    incoming.addChunk(createChunk("abc", 4)),
    "a chunk before it is missing",
  );
  const last = createChunk("def", 3);
  t.ok(incoming.addChunk(last));
  t.equal(Buffer.from(incoming.finish(last).state).toString(), "abcdef");
  t.end();
});

// Guards against a state that mixes chunks of two snapshots: a delayed chunk
// may match the offset of the current snapshot.
test("a delayed chunk of another snapshot is refused", (t) => {
  const incoming = new IncomingSnapshot();
  t.ok(incoming.addChunk(createChunk("abc", 0)));
  t.notOk(incoming.addChunk(createChunk("xyz", 3, { lastIndex: 4 })));
  t.notOk(incoming.addChunk(createChunk("xyz", 3, { term: 2 })));
  t.notOk(incoming.addChunk(createChunk("xyz", 3, { size: 7 })));
  const last = createChunk("def", 3);
  t.ok(incoming.addChunk(last));
  t.equal(Buffer.from(incoming.finish(last).state).toString(), "abcdef");
  t.end();
});

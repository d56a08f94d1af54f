import { Buffer } from "node:buffer";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "tap";
import { encodeRecord } from "./record.ts";
import { type NewSnapshot, SnapshotStore } from "./snapshot_store.ts";

const SIZE = 1_000_000;

function createSnapshot(lastIndex: number, fill: number): NewSnapshot {
  return {
    group: 1,
    lastIndex,
    lastTerm: 1,
    members: [],
    parts: [Buffer.alloc(SIZE, fill), Buffer.alloc(0), Buffer.from("end")],
  };
}

test("a loaded snapshot equals the saved one", async (t) => {
  const store = new SnapshotStore(t.testdir());
  t.equal(store.load(1), undefined);
  await store.save(createSnapshot(5, 7));
  const { parts, ...metadata } = createSnapshot(5, 7);
  t.same(store.load(1), { ...metadata, state: Buffer.concat([...parts]) });
});

test("an open snapshot stays readable to its end after a newer one is saved", async (t) => {
  const store = new SnapshotStore(t.testdir());
  t.equal(await store.open(1), undefined);
  await store.save(createSnapshot(5, 7));
  const opened = await store.open(1);
  await store.save(createSnapshot(6, 8));
  t.equal(opened?.metadata.lastIndex, 5);
  t.equal(opened?.size, SIZE + 3);
  const first = await opened?.read(0, 10);
  t.same(first, Buffer.alloc(10, 7));
  const last = await opened?.read(SIZE - 2, 100);
  t.same(last, Buffer.from([7, 7, ...Buffer.from("end")]));
  await opened?.close();
  t.equal(store.load(1)?.lastIndex, 6);
});

test("a corrupted state and a truncated file are errors", async (t) => {
  const folder = t.testdir();
  const store = new SnapshotStore(folder);
  await store.save(createSnapshot(5, 7));
  const path = join(folder, "group-1");
  const bytes = readFileSync(path);
  const opened = await store.open(1);
  writeFileSync(path, bytes.subarray(0, bytes.length - 1));
  t.throws(() => store.load(1), { message: "Snapshot of group 1 is damaged" });
  if (opened === undefined) throw new Error("Saved snapshot was not found");
  await t.rejects(opened.read(SIZE, 10), {
    message: "Snapshot file is truncated",
  });
  await opened.close();
  bytes[bytes.length - 10] = 0;
  writeFileSync(path, bytes);
  t.throws(() => store.load(1), { message: "Snapshot of group 1 is damaged" });
});

test("a snapshot of format 2 is converted to the current format", async (t) => {
  const folder = t.testdir();
  const store = new SnapshotStore(folder);
  await store.convert(1);
  const old = {
    group: 1,
    lastIndex: 3,
    lastTerm: 1,
    members: [],
    state: Buffer.from("old"),
  };
  writeFileSync(join(folder, "group-1"), encodeRecord(old));
  await store.convert(1);
  t.same(store.load(1), old);
  const opened = await store.open(1);
  t.same(await opened?.read(0, 10), old.state);
  await opened?.close();
});

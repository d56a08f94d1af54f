import { Buffer } from "node:buffer";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "tap";
import { encodeRecord } from "./record.ts";
import { type SnapshotContent, SnapshotStore } from "./snapshot_store.ts";

const SIZE = 1_000_000;

function createContent(lastIndex: number, fill: number): SnapshotContent {
  return {
    group: 1,
    lastIndex,
    lastTerm: 1,
    members: [],
    parts: [Buffer.alloc(SIZE, fill), Buffer.alloc(0), Buffer.from("end")],
  };
}

test("a snapshot is loaded as it was saved", async (t) => {
  const store = new SnapshotStore(t.testdir());
  t.equal(store.load(1), undefined);
  await store.save(createContent(5, 7));
  const { parts, ...point } = createContent(5, 7);
  t.same(store.load(1), { ...point, state: Buffer.concat([...parts]) });
});

test("an open snapshot is read to its end although a newer one is saved", async (t) => {
  const store = new SnapshotStore(t.testdir());
  t.equal(await store.open(1), undefined);
  await store.save(createContent(5, 7));
  const opened = await store.open(1);
  await store.save(createContent(6, 8));
  t.equal(opened?.point.lastIndex, 5);
  t.equal(opened?.size, SIZE + 3);
  const first = await opened?.read(0, 10);
  t.same(first, Buffer.alloc(10, 7));
  const last = await opened?.read(SIZE - 2, 100);
  t.same(last, Buffer.from([7, 7, ...Buffer.from("end")]));
  await opened?.close();
  t.equal(store.load(1)?.lastIndex, 6);
});

test("damage in the state is an error, and so is a file cut short", async (t) => {
  const folder = t.testdir();
  const store = new SnapshotStore(folder);
  await store.save(createContent(5, 7));
  const path = join(folder, "group-1");
  const bytes = readFileSync(path);
  const opened = await store.open(1);
  writeFileSync(path, bytes.subarray(0, bytes.length - 1));
  t.throws(() => store.load(1), { message: "Snapshot of group 1 is damaged" });
  if (opened === undefined) throw new Error("There is no snapshot");
  await t.rejects(opened.read(SIZE, 10), {
    message: "The snapshot is cut short",
  });
  await opened.close();
  bytes[bytes.length - 10] = 0;
  writeFileSync(path, bytes);
  t.throws(() => store.load(1), { message: "Snapshot of group 1 is damaged" });
});

test("a snapshot of format 2 is brought into the newest one", async (t) => {
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

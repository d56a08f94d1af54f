import { Buffer } from "node:buffer";
import {
  appendFileSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import { ENTRY_KINDS, type LogEntry } from "@mallowlift/core";
import { test } from "tap";
import { DataFolder } from "./data_folder.ts";

const GROUPS = [0, 1];

function createEntry(index: number, term: number, size = 10): LogEntry {
  return {
    index,
    term,
    kind: ENTRY_KINDS.COMMAND,
    payload: Buffer.alloc(size, index),
  };
}

async function open(path: string): Promise<DataFolder> {
  return await DataFolder.open(path, { replicaId: "r1", groups: GROUPS });
}

async function appendEntries(
  folder: DataFolder,
  entries: readonly LogEntry[],
): Promise<void> {
  await folder.log.append(
    entries.map((entry) => ({ kind: "entry", group: 1, entry })),
  );
}

function listSegments(path: string): readonly string[] {
  return readdirSync(path).filter((name) => name.startsWith("log-"));
}

test("votes, entries and a replaced log suffix are restored after a restart", async (t) => {
  const path = t.testdir();
  const first = await open(path);
  await first.log.append([{ kind: "vote", group: 1, term: 3, votedFor: "r2" }]);
  await appendEntries(first, [
    createEntry(1, 1),
    createEntry(2, 1),
    createEntry(3, 1),
  ]);
  await appendEntries(first, [createEntry(2, 2)]);
  await first.log.close();
  const again = await open(path);
  const stored = again.getStored(1);
  t.equal(stored.term, 3);
  t.equal(stored.votedFor, "r2");
  t.same(stored.entries.map((entry) => [entry.index, entry.term]), [[1, 1], [
    2,
    2,
  ]]);
  t.same(again.identity, first.identity);
  await again.log.close();
});

test("a new folder gets a new incarnation", async (t) => {
  const path = t.testdir();
  const first = await open(path);
  await first.log.close();
  rmSync(path, { recursive: true });
  const second = await open(path);
  t.not(second.identity.incarnation, first.identity.incarnation);
  t.notOk(second.isFounded);
  await second.log.close();
});

test("a torn tail is truncated, and corruption before it fails the start", async (t) => {
  const path = t.testdir();
  const first = await open(path);
  await appendEntries(first, [createEntry(1, 1), createEntry(2, 1)]);
  await first.log.close();
  const [name] = listSegments(path);
  const segment = join(path, name ?? "");
  appendFileSync(segment, "half a rec");
  const again = await open(path);
  t.equal(again.getStored(1).entries.length, 2);
  await appendEntries(again, [createEntry(3, 1)]);
  await again.log.close();
  const bytes = readFileSync(segment);
  bytes[20] = (bytes[20] ?? 0) ^ 1;
  writeFileSync(segment, bytes);
  await t.rejects(open(path), /damaged/);
});

test("snapshots prune log segments, and votes survive the pruning", async (t) => {
  const path = t.testdir();
  const folder = await open(path);
  await folder.log.append([{
    kind: "vote",
    group: 0,
    term: 7,
    votedFor: "r3",
  }]);
  const large = 9 * 1_024 * 1_024;
  for (let index = 1; index <= 5; index++) {
    await appendEntries(folder, [createEntry(index, 1, large)]);
  }
  t.ok(listSegments(path).length > 1);
  const snapshot = {
    group: 1,
    lastIndex: 5,
    lastTerm: 1,
    members: [],
    parts: [Buffer.from("s")],
  };
  await folder.saveSnapshot(snapshot);
  await folder.saveSnapshot({ ...snapshot, lastIndex: 4 });
  t.equal(listSegments(path).length, 1);
  await appendEntries(folder, [createEntry(6, 1)]);
  await folder.log.close();
  const again = await open(path);
  t.equal(again.getStored(0).term, 7);
  t.equal(again.getStored(1).snapshot?.lastIndex, 5);
  t.same(again.getStored(1).entries.map((entry) => entry.index), [6]);
  await again.log.close();
});

test("entries that conflict with an installed snapshot are dropped", async (t) => {
  const path = t.testdir();
  const folder = await open(path);
  await appendEntries(folder, [
    createEntry(1, 1),
    createEntry(2, 1),
    createEntry(3, 1),
  ]);
  await folder.log.close();
  // Simulates a crash between saving the snapshot and resetting the log.
  await folder.snapshots.save({
    group: 1,
    lastIndex: 2,
    lastTerm: 5,
    members: [],
    parts: [],
  });
  const again = await open(path);
  t.same(again.getStored(1).entries, []);
  await again.log.close();
});

test("an append after close neither completes nor fails the replica", async (t) => {
  const path = t.testdir();
  const folder = await open(path);
  await folder.log.close();
  const late = appendEntries(folder, [createEntry(1, 1)]).then(() =>
    "completed"
  );
  const failed = folder.log.failed.then(() => "failed");
  const waited = new Promise((resolve) => setTimeout(resolve, 20, "nothing"));
  t.equal(await Promise.race([late, failed, waited]), "nothing");
});

test("a batch torn in its middle by a power loss is truncated, even if its end was written", async (t) => {
  const path = t.testdir();
  const first = await open(path);
  await appendEntries(first, [createEntry(1, 1)]);
  const [segment = ""] = listSegments(path);
  const file = join(path, segment);
  const synced = readFileSync(file).length;
  await appendEntries(first, [2, 3, 4].map((index) => createEntry(index, 1)));
  await first.log.close();
  // The pages of one write may reach the disk in any order.
  const bytes = readFileSync(file);
  writeFileSync(file, bytes.fill(0, synced, synced + 24));
  const again = await open(path);
  const indexes = again.getStored(1).entries.map((entry) => entry.index);
  t.same(indexes, [1]);
  await again.log.close();
});

test("a pruned segment that reappears after a power loss changes nothing", async (t) => {
  const path = t.testdir();
  const large = 9 * 1_024 * 1_024;
  const first = await open(path);
  for (const index of [1, 2, 3, 4]) {
    await appendEntries(first, [createEntry(index, 1, large)]);
  }
  const [oldest = ""] = listSegments(path);
  const kept = readFileSync(join(path, oldest));
  await appendEntries(first, [createEntry(5, 1), createEntry(6, 1)]);
  await appendEntries(first, [createEntry(5, 2)]);
  await first.saveSnapshot({
    group: 1,
    lastIndex: 4,
    lastTerm: 1,
    members: [],
    parts: [],
  });
  await first.log.close();
  t.notOk(listSegments(path).includes(oldest));
  writeFileSync(join(path, oldest), kept);
  const again = await open(path);
  t.same(
    again.getStored(1).entries.map((entry) => [entry.index, entry.term]),
    [[5, 2]],
  );
  await again.log.close();
});

import { sleep, waitWithTimeout } from "@mallowlift/core";
import { test } from "tap";
import { createCluster } from "./mocks/create_cluster.ts";

const IDS = ["r1", "r2", "r3"];

test("over a slow connection entries are sent once and the leader stays", async (t) => {
  const cluster = createCluster(t, { ids: IDS });
  // On the slow connection one message of entries takes half of this timeout,
  // and all entries take far more.
  cluster.electionMilliseconds = 600;
  await cluster.start();
  await cluster.commit("before");
  const leader = await cluster.waitForLeader();
  const term = cluster.getGroup(leader)?.term;
  const others = IDS.filter((id) => id !== leader);
  const count = () => others.map((id) => cluster.countBytes(leader, id));
  const before = count();
  cluster.limitOutgoingBandwidth(leader, 400_000);
  const padding = "x".repeat(20_000);
  const applied = await Promise.all(
    Array.from(
      { length: 40 },
      (_, number) =>
        cluster.propose(leader, { name: `${number}${padding}`, attempt: 1 }),
    ),
  );
  t.ok(applied.every((outcome) => outcome?.ok));
  const isDone = () =>
    IDS.every((id) => cluster.readCommands(id).length === 41);
  await cluster.waitFor("all replicas applied", isDone);
  t.equal(cluster.getGroup(leader)?.term, term, "no other leader was elected");
  for (const [index, bytes] of count().entries()) {
    const sent = bytes - (before[index] ?? 0);
    t.ok(sent < 1.2 * 40 * padding.length, "entries were sent once");
  }
});

test("a spare receives its entries after a quorum that lags", async (t) => {
  const ids = [...IDS, "s1"];
  const cluster = createCluster(t, { ids, standbys: ["s1"] });
  cluster.electionMilliseconds = 1_000;
  await cluster.start();
  await cluster.commit("before");
  const leader = await cluster.waitForLeader();
  const isFollowing = () => cluster.readCommands("s1").length === 1;
  await cluster.waitFor("the spare follows", isFollowing);
  cluster.limitOutgoingBandwidth(leader, 400_000);
  const padding = "x".repeat(1_000);
  const names = Array.from({ length: 1_000 }, (_, number) => number + padding);
  const applying = Promise.all(
    names.map((name) => cluster.propose(leader, { name, attempt: 1 })),
  );
  const isHalfDone = () => cluster.readCommands(leader).length > 500;
  await cluster.waitFor("a quorum has half", isHalfDone);
  t.ok(
    cluster.readCommands("s1").length < 250,
    "the spare has received few entries by then",
  );
  t.ok((await applying).every((outcome) => outcome?.ok));
  const isDone = () =>
    ids.every((id) => cluster.readCommands(id).length === 1_001);
  await cluster.waitFor("all replicas applied, the spare too", isDone);
});

test("a leader whose disk stalls commits entries that the others have on disk", async (t) => {
  const cluster = createCluster(t, { ids: IDS });
  await cluster.start();
  await cluster.commit("before");
  const leader = await cluster.waitForLeader();
  const stall = await cluster.stallDisk(leader);
  t.teardown(() => stall.release());
  const proposed = cluster.propose(leader, { name: "stalled", attempt: 1 });
  const isApplied = () => cluster.readCommands(leader).includes("stalled");
  await cluster.waitFor("the leader applied", isApplied);
  const applied = await waitWithTimeout(proposed, 10_000);
  t.ok(applied?.ok, "the proposal is answered while the disk stalls");
  stall.release();
  await cluster.commit("after");
  const isDone = () => IDS.every((id) => cluster.readCommands(id).length === 3);
  await cluster.waitFor("all replicas applied", isDone);
});

test("a member with a small lag is sent entries, even after the leader took a snapshot", async (t) => {
  const ids = [...IDS, "s1"];
  const cluster = createCluster(t, {
    ids,
    standbys: ["s1"],
    snapshotEntries: 1_000,
  });
  cluster.electionMilliseconds = 1_000;
  await cluster.start();
  await cluster.commit("before");
  const leader = await cluster.waitForLeader();
  const hasAll = (id: string, count: number) =>
    cluster.readCommands(id).length === count;
  await cluster.waitFor("the spare follows", () => hasAll("s1", 1));
  const restores = cluster.countRestores("s1");
  // The connection carries some 300 entries a second, and 500 are proposed.
  cluster.limitBandwidth(leader, "s1", 300_000);
  const padding = "x".repeat(900);
  const proposing: Promise<unknown>[] = [];
  for (let number = 0; number < 1_100; number++) {
    const name = number + padding;
    proposing.push(cluster.propose(leader, { name, attempt: 1 }));
    if (number % 10 === 0) await sleep(20);
  }
  await Promise.all(proposing);
  const isTaken = () =>
    (cluster.getGroup(leader)?.describe(0).snapshotIndex ?? 0) > 0;
  await cluster.waitFor("the leader has dropped entries", isTaken);
  await cluster.waitFor("the spare has all", () => hasAll("s1", 1_101));
  t.equal(cluster.countRestores("s1"), restores, "no snapshot was sent");
});

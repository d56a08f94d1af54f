/**
 * Guards against replication to every store: on a site of nine stores with three
 * voters, each copy beyond the voters and one warm spare costs the leader a
 * message and a reply for every batch.
 */

import { MEMBER_ROLES } from "@mallowlift/core";
import { type Test, test } from "tap";
import { createCluster } from "./mocks/create_cluster.ts";
import type { TestCluster } from "./mocks/test_cluster.ts";

const VOTERS = ["r1", "r2", "r3"];
const SPARES = ["s1", "s2", "s3", "s4", "s5", "s6"];
const COMMANDS = 40;
/** Content of each command, so that copies show in the bytes of a connection. */
const PADDING = "x".repeat(2_000);

async function startCluster(t: Test): Promise<TestCluster> {
  const cluster = createCluster(t, {
    ids: [...VOTERS, ...SPARES],
    standbys: SPARES,
  });
  await cluster.start();
  await cluster.commit("before");
  return cluster;
}

function listHolders(cluster: TestCluster, name: string): readonly string[] {
  return SPARES.filter((id) => cluster.readCommands(id).includes(name));
}

/** Waits until a spare holds a command; returns the id of the spare. */
async function waitForHolder(
  cluster: TestCluster,
  name: string,
): Promise<string> {
  await cluster.waitFor(
    `a spare holds ${name}`,
    () => listHolders(cluster, name).length > 0,
  );
  return listHolders(cluster, name)[0] ?? "";
}

test("one of six spares receives the entries", async (t) => {
  const cluster = await startCluster(t);
  await waitForHolder(cluster, "before");
  const leader = await cluster.waitForLeader();
  const before = SPARES.map((id) => cluster.countBytes(leader, id));
  for (let number = 0; number < COMMANDS; number++) {
    await cluster.commit(`${number}${PADDING}`);
  }
  const last = `${COMMANDS - 1}${PADDING}`;
  const holder = await waitForHolder(cluster, last);
  t.same(listHolders(cluster, last), [holder]);
  for (const [index, id] of SPARES.entries()) {
    if (id === holder) continue;
    const bytes = cluster.countBytes(leader, id) - (before[index] ?? 0);
    t.ok(bytes < PADDING.length * COMMANDS / 4, `${id} got ${bytes} bytes`);
  }
});

test("another spare takes the place of a warm one that is lost", async (t) => {
  const cluster = await startCluster(t);
  const first = await waitForHolder(cluster, "before");
  await cluster.crash(first);
  await cluster.waitFor(
    "another spare holds the command",
    () => listHolders(cluster, "before").some((id) => id !== first),
  );
  t.pass();
});

test("a lost voter is replaced, and another spare becomes warm", async (t) => {
  const cluster = await startCluster(t);
  const first = await waitForHolder(cluster, "before");
  const leader = await cluster.waitForLeader();
  const lost = VOTERS.find((id) => id !== leader) ?? "";
  await cluster.crash(lost);
  const listVoters = () =>
    (cluster.getGroup(leader)?.membership.members ?? [])
      .filter((member) => member.role === MEMBER_ROLES.VOTER)
      .map((member) => member.replicaId);
  await cluster.waitFor(
    "the warm spare votes",
    () => listVoters().includes(first) && !listVoters().includes(lost),
  );
  await cluster.waitFor(
    "another spare holds the command",
    () => listHolders(cluster, "before").some((id) => id !== first),
  );
  t.equal(listVoters().length, VOTERS.length);
});

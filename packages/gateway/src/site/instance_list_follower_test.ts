import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import {
  createMetrics,
  fail,
  type InstanceListReply,
  type Outcome,
  RESULT_CODES,
  SILENT_LOGGER,
  sleep,
  type UpstreamInstance,
} from "@mallowlift/core";
import { packUpdate } from "@mallowlift/sessions";
import { test } from "tap";
import { Ok } from "ts-results";
import { InstanceListFollower } from "./instance_list_follower.ts";

const STALE_MILLISECONDS = 50;
const STORES = ["a-1", "a-2", "b-1", "b-2", "c-1"];

const INSTANCE: UpstreamInstance = {
  id: "u-1",
  service: "s",
  address: "127.0.0.1:1",
  failureDomain: "d",
  slots: 1,
  leaving: false,
};

/**
 * Creates a follower whose stores answer with the given function, and records
 * the queried stores and the applied lists.
 */
function createFollower(
  answer: (store: string) => Outcome<InstanceListReply>,
  staleMilliseconds = STALE_MILLISECONDS,
) {
  const asked: string[] = [];
  const used: (readonly UpstreamInstance[])[] = [];
  const callStore = (store: string) => {
    asked.push(store);
    return Promise.resolve(answer(store));
  };
  const follower = new InstanceListFollower({
    client: { callStore: callStore as never, listStores: () => STORES },
    upstreams: { update: (instances) => used.push(instances) },
    staleMilliseconds,
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  return { follower, asked, used };
}

function createListReply(revision: string, leaving = false): InstanceListReply {
  const instances = [{ ...INSTANCE, leaving }];
  return { list: { revision, instances }, listAgeMilliseconds: 0 };
}

/**
 * Creates a reply with the update from one revision to the next, which replaces
 * the upstream `u-1` with the one of the given id.
 */
function createUpdateReply(base: string, revision: string, id: string) {
  const changed = [{ ...INSTANCE, id }];
  const update = packUpdate({ revision, base, changed, removed: ["u-1"] });
  return { update, listRevision: revision, listAgeMilliseconds: 0 };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}

test("a list that was read earlier does not replace one that was read later", (t) => {
  const { follower, used } = createFollower(() => Ok(createListReply("1")));
  follower.apply({ ...createListReply("2"), listAgeMilliseconds: 100 }, 1_000);
  follower.apply({ ...createListReply("1"), listAgeMilliseconds: 600 }, 1_100);
  t.equal(follower.revision, "2");
  t.equal(follower.findAge(1_100), 200);
  follower.apply({ listAgeMilliseconds: -1 }, 1_200);
  t.equal(follower.findAge(1_200), 300);
  t.equal(used.length, 1);
  t.end();
});

test("an update is applied to its base revision, and one without a base to any", (t) => {
  const { follower, used } = createFollower(() => Ok(createListReply("1")));
  follower.apply(createListReply("1"), 1_000);
  follower.apply(createUpdateReply("1", "2", "u-2"), 2_000);
  t.equal(follower.revision, "2");
  t.same(used.at(-1)?.map(({ id }) => id), ["u-2"]);
  follower.apply(createUpdateReply("", "3", "u-3"), 3_000);
  t.same(used.at(-1)?.map(({ id }) => id), ["u-3"], "the whole list");
  const damaged = { update: Buffer.from("none"), listAgeMilliseconds: 0 };
  follower.apply(damaged, 4_000);
  t.equal(follower.revision, "3");
  t.equal(used.length, 3);
  t.end();
});

// Guards against an old list that counts as fresh because a reply confirms
// another revision.
test("a reply for another revision does not confirm the list in force", (t) => {
  const { follower, used } = createFollower(() => Ok(createListReply("1")));
  follower.apply(createListReply("1"), 1_000);
  follower.apply({ listRevision: "2", listAgeMilliseconds: 0 }, 2_000);
  t.equal(follower.findAge(2_000), 1_000);
  follower.apply(createUpdateReply("2", "3", "u-3"), 3_000);
  t.equal(
    follower.findAge(3_000),
    2_000,
    "the base of the update is not in force",
  );
  t.equal(used.length, 1);
  follower.apply({ listRevision: "1", listAgeMilliseconds: 0 }, 4_000);
  t.equal(follower.findAge(4_000), 0);
  t.end();
});

test("no store is queried while the list is fresh", async (t) => {
  // Far above the time for which a process on a busy machine may not run, since the
  // list is stale if the timer that refreshes it is that late.
  const staleMilliseconds = 1_000;
  const { follower, asked } = createFollower(
    () => Ok(createListReply("1")),
    staleMilliseconds,
  );
  await follower.start();
  const applyTimer = setInterval(
    () => follower.apply({ listAgeMilliseconds: 0 }, performance.now()),
    staleMilliseconds / 10,
  );
  await sleep(3 * staleMilliseconds);
  clearInterval(applyTimer);
  await follower.stop();
  t.equal(asked.length, 0);
});

test("the stores are queried in turn for a stale list until one has a fresh list", async (t) => {
  const answering = new Set<string>();
  const { follower, asked, used } = createFollower((store) =>
    answering.has(store)
      ? Ok(createListReply("2", true))
      : fail(RESULT_CODES.TIMEOUT, "The store is unreachable")
  );
  await follower.start();
  await waitUntil(() => asked.length >= STORES.length);
  t.same([...new Set(asked)].sort(), STORES, "every store is queried");
  t.equal(used.length, 0);
  answering.add("c-1");
  await waitUntil(() => follower.revision === "2");
  await follower.stop();
  t.ok(used[0]?.[0]?.leaving, "the change is in force");
});

import { createMetrics, SILENT_LOGGER, sleep } from "@mallowlift/core";
import type { FollowReply } from "@mallowlift/core";
import { SiteState, unpackUpdate } from "@mallowlift/sessions";
import { test } from "tap";
import { createTestReader } from "./mocks/create_test_reader.ts";
import { SiteOwner } from "./site_owner.ts";

const GATEWAYS = 220;
/** Gateways that may be sent the full list before one of them sends its next request. */
const MAX_IN_FLIGHT = 24;

function countChanged({ update }: FollowReply): number {
  return update === undefined ? 0 : unpackUpdate(update).changed.length;
}

/** Starts a leader and waits until it has read the instance list. */
async function startLeader() {
  const { reader, changed } = createTestReader();
  const owner = new SiteOwner({
    state: new SiteState(),
    reader,
    changed,
    minStores: 1,
    getGroup: () => undefined,
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  owner.onLeading();
  while (reader.list === undefined) await sleep(1);
  return owner;
}

test("a leader sends its list only to gateways that hold an older one", async (t) => {
  const owner = await startLeader();
  const follow = async (listAgeMilliseconds?: number) => {
    const reply = await owner.followers.follow({
      daemon: "g",
      documentVersion: -1,
      listRevision: "another",
      listAgeMilliseconds,
      holdMilliseconds: 20,
    }, new AbortController().signal);
    return reply.unwrap();
  };
  t.equal(countChanged(await follow(60_000)), 1);
  t.equal(countChanged(await follow(Infinity)), 1);
  t.equal(
    countChanged(await follow()),
    1,
    "a gateway of an earlier release sends no age",
  );
  t.equal(countChanged(await follow(0)), 0);
  owner.onFollowing();
});

// Guards against send buffers that hold the full list for every gateway at once.
test("the full list is sent to a bounded number of gateways at once", async (t) => {
  const owner = await startLeader();
  const follow = (daemon: string, listRevision: string) =>
    owner.followers.follow({
      daemon,
      documentVersion: -1,
      listRevision,
      holdMilliseconds: 0,
    }, new AbortController().signal);
  const names = Array.from({ length: GATEWAYS }, (_, number) => `g-${number}`);
  const held = new Map<string, string>();
  for (let round = 0; held.size < GATEWAYS && round < GATEWAYS; round++) {
    let fullLists = 0;
    for (const name of names) {
      const reply = (await follow(name, held.get(name) ?? "")).unwrap();
      fullLists += countChanged(reply);
      if (reply.update !== undefined) held.set(name, reply.listRevision ?? "");
    }
    t.ok(fullLists <= MAX_IN_FLIGHT, `${fullLists} in round ${round}`);
  }
  t.equal(held.size, GATEWAYS, "every gateway gets the list eventually");
  owner.onFollowing();
});

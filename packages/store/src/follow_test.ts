import { createMetrics, SILENT_LOGGER, sleep } from "@mallowlift/core";
import { SiteState } from "@mallowlift/sessions";
import { test } from "tap";
import { createTestReader } from "./mocks/create_test_reader.ts";
import { SiteOwner } from "./site_owner.ts";

/** A leader that has read a list. */
async function lead() {
  const { reader, changed } = createTestReader();
  const owner = new SiteOwner({
    state: new SiteState(),
    reader,
    changed,
    leastStores: 1,
    getGroup: () => undefined,
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  owner.onLeading();
  while (reader.list === undefined) await sleep(1);
  return owner;
}

test("a leader tells its list only to gateways that hold an earlier reading", async (t) => {
  const owner = await lead();
  const ask = async (listAgeMilliseconds?: number) => {
    const reply = await owner.follow({
      daemon: "g",
      documentVersion: -1,
      listRevision: "another",
      listAgeMilliseconds,
      holdMilliseconds: 20,
    }, new AbortController().signal);
    return reply.unwrap();
  };
  t.equal((await ask(60_000)).list?.instances.length, 1);
  t.equal((await ask(Infinity)).list?.instances.length, 1);
  t.equal((await ask()).list?.instances.length, 1, "an earlier release");
  t.equal((await ask(0)).list, undefined);
  owner.onFollowing();
});

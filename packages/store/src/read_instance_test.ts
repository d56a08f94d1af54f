import type { UpstreamInstance } from "@mallowlift/core";
import { test } from "tap";
import {
  keepNewerIncarnations,
  readInstance,
  readInstances,
} from "./read_instance.ts";

const ENTRY = {
  id: "u",
  service: "s",
  address: "10.0.0.1:80",
  failureDomain: "a",
  slots: 4,
  leaving: false,
};

function read(bornAt: number, fields = {}): UpstreamInstance {
  return readInstance({ ...ENTRY, bornAt, ...fields }).unwrap();
}

test("each incarnation of an instance has its own id", (t) => {
  const [first, second] = [read(1_000), read(2_000)];
  t.not(first.id, second.id);
  t.equal(first.ownId, "u");
  t.equal(second.ownId, "u");
  t.equal(
    readInstance(ENTRY).unwrap().id,
    "u",
    "unchanged without a start time",
  );
  t.end();
});

test("of two entries with the same id, the newest incarnation is used", (t) => {
  const reasons: string[] = [];
  const entries = [{ ...ENTRY, bornAt: 2_000 }, { ...ENTRY, bornAt: 1_000 }];
  for (const candidates of [entries, entries.toReversed()]) {
    const instances = readInstances(candidates, (why) => reasons.push(why));
    t.same(instances.map(({ bornAt }) => bornAt), [2_000]);
  }
  t.same(reasons, ["id stands twice", "id stands twice"]);
  t.end();
});

test("an earlier incarnation in a delayed read does not replace a newer one", (t) => {
  const kept = keepNewerIncarnations([read(1_000, { leaving: true })], [
    read(2_000),
  ]);
  t.same(
    kept,
    [read(2_000, { leaving: true })],
    "the leaving state is taken over",
  );
  t.same(keepNewerIncarnations([read(3_000)], [read(2_000)]), [read(3_000)]);
  t.same(keepNewerIncarnations([read(1_000)], []), [read(1_000)]);
  t.end();
});

test("an instance with a new address is accepted despite an earlier start time", (t) => {
  const moved = read(1_000, { address: "10.0.0.2:80" });
  t.same(keepNewerIncarnations([moved], [read(2_000)]), [moved]);
  t.end();
});

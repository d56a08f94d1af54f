import type { UpstreamInstance } from "@mallowlift/core";
import { test } from "tap";
import {
  keepLaterLives,
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

test("each life of an instance has an id of its own", (t) => {
  const [first, second] = [read(1_000), read(2_000)];
  t.not(first.id, second.id);
  t.equal(first.ownId, "u");
  t.equal(second.ownId, "u");
  t.equal(readInstance(ENTRY).unwrap().id, "u", "as it is where none is told");
  t.end();
});

test("an id that stands twice counts once, for its latest life", (t) => {
  const reasons: string[] = [];
  const entries = [{ ...ENTRY, bornAt: 2_000 }, { ...ENTRY, bornAt: 1_000 }];
  for (const candidates of [entries, entries.toReversed()]) {
    const instances = readInstances(candidates, (why) => reasons.push(why));
    t.same(instances.map(({ bornAt }) => bornAt), [2_000]);
  }
  t.same(reasons, ["id stands twice", "id stands twice"]);
  t.end();
});

test("an earlier life that is told late does not replace the later one", (t) => {
  const kept = keepLaterLives([read(1_000, { leaving: true })], [read(2_000)]);
  t.same(kept, [read(2_000, { leaving: true })], "but it may be leaving");
  t.same(keepLaterLives([read(3_000)], [read(2_000)]), [read(3_000)]);
  t.same(keepLaterLives([read(1_000)], []), [read(1_000)]);
  t.end();
});

test("an instance that went elsewhere is believed, whatever its clock says", (t) => {
  const moved = read(1_000, { address: "10.0.0.2:80" });
  t.same(keepLaterLives([moved], [read(2_000)]), [moved]);
  t.end();
});

import { test } from "tap";
import { Directory, type SelfRecord } from "./directory.ts";
import { FounderGrants } from "./founder_grants.ts";

function createRecord(name: string, bootId = "1"): SelfRecord {
  return {
    name,
    bootId,
    address: `${name}:1`,
    roles: ["store"],
    failureDomain: "d",
  };
}

test("the newest word on a daemon counts, and silence makes it forgotten", (t) => {
  const directory = new Directory(createRecord("a"));
  directory.merge([{ ...createRecord("b"), ageMilliseconds: 100 }], 1_000);
  directory.merge(
    [{ ...createRecord("b", "old"), ageMilliseconds: 500 }],
    1_000,
  );
  t.equal(directory.find("b")?.bootId, "1");
  directory.merge([{ ...createRecord("b", "2"), ageMilliseconds: 0 }], 1_500);
  t.equal(directory.find("b")?.bootId, "2");
  t.equal(directory.changedAt, 1_500);
  t.same(directory.findByRole("store").map((found) => found.name), ["a", "b"]);
  t.same(directory.findByRole("store", 2_000).map((found) => found.name), [
    "a",
  ]);
  directory.forget(100_000);
  t.equal(directory.find("b"), undefined);
  t.end();
});

test("a seed grants the founding to one store, and to none after its first start", (t) => {
  const directory = new Directory(createRecord("seed"));
  directory.merge([
    { ...createRecord("a"), ageMilliseconds: 0 },
    { ...createRecord("b"), ageMilliseconds: 0 },
  ], 0);
  const grants = new FounderGrants(directory, true);
  t.ok(grants.claim({ name: "a", bootId: "1" }, 0).granted);
  t.ok(grants.claim({ name: "a", bootId: "1" }, 0).granted);
  t.notOk(grants.claim({ name: "b", bootId: "1" }, 0).granted);
  grants.claim({ name: "b", bootId: "1", isReturned: true }, 0);
  t.notOk(grants.claim({ name: "b", bootId: "1" }, 0).granted, "not its own");
  grants.claim({ name: "a", bootId: "1", isReturned: true }, 0);
  t.ok(grants.claim({ name: "b", bootId: "1" }, 0).granted, "given back");
  const later = new FounderGrants(directory, false);
  t.notOk(later.claim({ name: "a", bootId: "1" }, 0).granted);
  t.end();
});

test("a grant stands although its holder has not been heard yet", (t) => {
  const grants = new FounderGrants(new Directory(createRecord("seed")), true);
  t.ok(grants.claim({ name: "b", bootId: "1" }, 0).granted);
  t.notOk(grants.claim({ name: "a", bootId: "1" }, 5).granted);
  t.ok(grants.claim({ name: "a", bootId: "1" }, 100_000).granted);
  t.end();
});

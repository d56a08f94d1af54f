import { test } from "tap";
import { type DaemonInfo, Directory } from "./directory.ts";
import { FounderGrants } from "./founder_grants.ts";

function createRecord(name: string, bootId = "1"): DaemonInfo {
  return {
    name,
    bootId,
    address: `${name}:1`,
    roles: ["store"],
    failureDomain: "d",
  };
}

test("the most recent record of a daemon wins, and an expired one is dropped", (t) => {
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
  directory.removeExpired(100_000);
  t.equal(directory.find("b"), undefined);
  t.end();
});

test("a seed grants the founding to one store, and to none after a restart", (t) => {
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
  t.notOk(
    grants.claim({ name: "b", bootId: "1" }, 0).granted,
    "it did not hold the grant",
  );
  grants.claim({ name: "a", bootId: "1", isReturned: true }, 0);
  t.ok(
    grants.claim({ name: "b", bootId: "1" }, 0).granted,
    "the grant was returned",
  );
  const later = new FounderGrants(directory, false);
  t.notOk(later.claim({ name: "a", bootId: "1" }, 0).granted);
  t.end();
});

test("a grant holds before its holder is in the directory", (t) => {
  const grants = new FounderGrants(new Directory(createRecord("seed")), true);
  t.ok(grants.claim({ name: "b", bootId: "1" }, 0).granted);
  t.notOk(grants.claim({ name: "a", bootId: "1" }, 5).granted);
  t.ok(grants.claim({ name: "a", bootId: "1" }, 100_000).granted);
  t.end();
});

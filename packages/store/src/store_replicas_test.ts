import { ROLES } from "@mallowlift/core";
import { Directory, type DirectoryTask } from "@mallowlift/membership";
import { SiteState } from "@mallowlift/sessions";
import { test } from "tap";
import { StoreReplicas } from "./store_replicas.ts";

function createRecord(name: string) {
  return {
    name,
    bootId: "1",
    address: `${name}:1`,
    roles: [ROLES.STORE],
    failureDomain: "d",
    ageMilliseconds: 0,
  };
}

function createReplicas(isFirstStart = true) {
  const directory = new Directory(createRecord("a"));
  const task = { claimFounding: () => Promise.resolve(true) };
  const replicas = new StoreReplicas({
    directory,
    task: task as DirectoryTask,
    state: new SiteState(),
    tolerance: 1,
    isFirstStart,
  }, 0);
  return { directory, replicas };
}

// Guards against a site that is founded without a store that is frozen for some seconds,
// and ends for good with the first lost disk.
test("the founding waits for as many stores as the site has voters", (t) => {
  const { directory, replicas } = createReplicas();
  const isComplete = (now: number) => {
    directory.merge([createRecord("b")], now);
    return replicas.listFounders(now).isComplete;
  };
  t.notOk(isComplete(2_000), "two of three stores");
  t.notOk(isComplete(5_000));
  directory.merge([createRecord("c")], 5_000);
  t.notOk(isComplete(5_100), "the directory has changed a moment ago");
  directory.merge([createRecord("c")], 6_000);
  t.ok(isComplete(6_300), "all three stores");
  t.equal(replicas.listFounders(6_300).founders.length, 3);
  t.end();
});

test("a store that does not come is not waited for without end", (t) => {
  const { directory, replicas } = createReplicas();
  directory.merge([createRecord("b")], 60_000);
  directory.merge([createRecord("b")], 62_000);
  const { founders, isComplete } = replicas.listFounders(62_000);
  t.ok(isComplete);
  t.equal(founders.length, 2);
  t.end();
});

test("after the first start no store founds the site", async (t) => {
  const { replicas } = createReplicas(false);
  t.notOk(replicas.mayFound);
  t.notOk(replicas.listFounders(60_000).isComplete);
  t.notOk(await replicas.claimFounding());
});

import type { UpstreamInstance } from "@mallowlift/core";
import { test } from "tap";
import { type ChoiceOptions, UpstreamTable } from "./upstream_table.ts";

function createInstance(id: string, leaving = false): UpstreamInstance {
  return {
    id,
    service: "s",
    address: "127.0.0.1:1",
    failureDomain: "d",
    slots: 4,
    leaving,
  };
}

function createOptions(more: Partial<ChoiceOptions> = {}): ChoiceOptions {
  return {
    service: "s",
    tried: new Set(),
    preferredId: "",
    objectKey: "",
    isRepeatable: true,
    gateways: 1,
    now: 0,
    ...more,
  };
}

test("leaving, tried and failed upstreams are not chosen", (t) => {
  const table = new UpstreamTable(() => 0.5, "d");
  table.update([createInstance("a"), createInstance("b", true)]);
  t.equal(table.choose(createOptions())?.instance.id, "a");
  t.equal(table.choose(createOptions({ tried: new Set(["a"]) })), undefined);
  const upstream = table.choose(createOptions());
  upstream?.health.recordFailure(0);
  t.equal(table.choose(createOptions({ now: 1 })), undefined);
  t.equal(table.choose(createOptions({ now: 10_000 }))?.instance.id, "a");
  t.end();
});

test("an instance that is removed from the list is retired, also for calls that hold it", (t) => {
  const table = new UpstreamTable(() => 0.5, "d");
  table.update([createInstance("a")]);
  const upstream = table.choose(createOptions());
  table.update([createInstance("c")]);
  t.ok(upstream?.isRetired);
  t.equal(table.choose(createOptions())?.instance.id, "c");
  t.end();
});

test("a loaded upstream is avoided, except by a turn of its history until the load is too high", (t) => {
  const table = new UpstreamTable(() => 0, "d");
  table.update([createInstance("a"), createInstance("b")]);
  const first = table.choose(createOptions());
  if (first !== undefined) first.running = 4;
  const second = table.choose(createOptions());
  t.not(second?.instance.id, first?.instance.id);
  const preferredId = first?.instance.id ?? "";
  t.equal(table.choose(createOptions({ preferredId })), first);
  if (first !== undefined) first.running = 40;
  t.equal(table.choose(createOptions({ preferredId })), second);
  t.end();
});

test("requests on one object go to the same upstream", (t) => {
  const table = new UpstreamTable(() => 0, "d");
  table.update(["a", "b", "c", "d"].map((id) => createInstance(id)));
  const chosen = new Set<string>();
  for (let object = 0; object < 40; object++) {
    const options = createOptions({ objectKey: String(object) });
    const upstream = table.choose(options);
    t.equal(table.choose(options), upstream);
    chosen.add(upstream?.instance.id ?? "");
  }
  t.equal(chosen.size, 4);
  t.end();
});

test("an upstream in the same failure domain is preferred until it is loaded", (t) => {
  const table = new UpstreamTable(() => 0, "d");
  table.update([
    { ...createInstance("far"), failureDomain: "e" },
    createInstance("near"),
  ]);
  const near = table.choose(createOptions());
  t.equal(near?.instance.id, "near");
  if (near !== undefined) near.running = 2;
  t.equal(table.choose(createOptions())?.instance.id, "far");
  t.end();
});

test("one more request does not send a turn away from its preferred upstream", (t) => {
  const table = new UpstreamTable(() => 0, "d");
  table.update(["a", "b", "c"].map((id) => createInstance(id)));
  const [first] = [...table.list()];
  if (first === undefined) throw new Error("No upstream");
  const options = createOptions({ preferredId: "a", gateways: 22 });
  first.running = 1;
  t.equal(table.choose(options), first);
  // A request that has been pending for far longer than usual does.
  for (const upstream of table.list()) upstream.health.recordTime(50, 0);
  first.health.recordSent({}, 0);
  t.not(table.choose({ ...options, now: 400 }), first);
  t.end();
});

// Guards against a call that waits for upstreams none of which may be used in its time.
test("a service can be used when the first of its upstreams can", (t) => {
  const table = new UpstreamTable(() => 0, "d");
  t.equal(table.findUsableAt("s", 1_000), undefined, "none is listed");
  table.update(["a", "b"].map((id) => createInstance(id)));
  const [first, second] = [...table.list()];
  if (first === undefined || second === undefined) throw new Error("None");
  first.health.markFull(1_000, 500);
  t.ok(
    (table.findUsableAt("s", 1_000) ?? Infinity) <= 1_000,
    "the second may be used",
  );
  second.health.markFull(1_000, 900);
  t.equal(table.findUsableAt("s", 1_000), 1_500);
  for (let failure = 0; failure < 2; failure++) {
    first.health.recordFailure(1_000 + failure * 200);
  }
  t.equal(
    table.findUsableAt("s", 1_000),
    1_600,
    "its second backoff has doubled",
  );
  first.retire();
  t.equal(
    table.findUsableAt("s", 1_000),
    1_900,
    "a retired upstream does not count",
  );
  t.end();
});

// Guards against calls that are refused for backoffs which the choice of an upstream
// does not heed.
test("a service whose network is suspect can be used at once", (t) => {
  const table = new UpstreamTable(() => 0, "d");
  table.update(["a", "b", "c", "d"].map((id) => createInstance(id)));
  for (const { health } of table.list()) {
    for (const now of [1_000, 1_300, 1_800]) health.recordFailure(now);
  }
  t.equal(table.findUsableAt("s", 2_000), 2_000);
  t.end();
});

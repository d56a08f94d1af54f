import type { UpstreamInstance } from "@mallowlift/core";
import {
  applyUpdate,
  type InstancesById,
  unpackUpdate,
} from "@mallowlift/sessions";
import fc from "fast-check";
import { test } from "tap";
import { InstanceHistory } from "./instance_history.ts";

const SEED = 1;
const RUNS = 200;
/** Upstreams at a site of 300 instances. */
const UPSTREAMS = 3_000;
const GATEWAYS = 220;

function createInstance(number: number, leaving = false): UpstreamInstance {
  return {
    id: `i-${number.toString(16).padStart(8, "0")}`,
    service: `service-${number % 7}`,
    address: `10.${number % 3}.${number >> 8}.${number & 255}:8080`,
    failureDomain: `domain-${number % 3}`,
    slots: 6,
    leaving,
  };
}

/** Returns a gateway's list after it has applied the newest update. */
function applyNewest(
  history: InstanceHistory,
  held: { readonly revision: string; readonly instances: InstancesById },
) {
  const packed = history.findUpdate(held.revision);
  if (packed === undefined) return held;
  const update = unpackUpdate(packed);
  return {
    revision: update.revision,
    instances: applyUpdate(held.instances, update),
  };
}

test("applying updates yields the newest list, however old the base is", (t) => {
  const lists = fc.array(
    fc.record({
      isPolling: fc.boolean(),
      numbers: fc.uniqueArray(fc.integer({ min: 0, max: 20 })),
      leaving: fc.integer({ min: 0, max: 20 }),
    }),
    { maxLength: 30 },
  );
  fc.assert(
    fc.property(lists, (readings) => {
      const history = new InstanceHistory();
      let held = { revision: "", instances: new Map() as InstancesById };
      for (const { isPolling, numbers, leaving } of readings) {
        history.replace(
          numbers.map((number) => createInstance(number, number === leaving)),
        );
        if (!isPolling) continue;
        held = applyNewest(history, held);
        if (held.revision !== history.list?.revision) return false;
        const actual = [...held.instances.values()].toSorted((left, right) =>
          left.id < right.id ? -1 : 1
        );
        const { instances } = history.list;
        if (JSON.stringify(actual) !== JSON.stringify(instances)) return false;
      }
      return true;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.end();
});

test("reading the same instances in another order changes nothing", (t) => {
  const history = new InstanceHistory();
  const instances = [createInstance(1), createInstance(2)];
  t.ok(history.replace(instances));
  t.notOk(history.replace(instances.toReversed()));
  t.ok(history.replace([createInstance(2)]));
  t.ok(history.needsFullList(""));
  history.clear();
  t.equal(history.list, undefined);
  t.equal(history.findUpdate(""), undefined);
  t.end();
});

// Guards against control traffic that grows with the square of the site's size.
test("an update with one changed upstream of 3,000 takes less than 500 bytes", (t) => {
  const history = new InstanceHistory();
  const all = Array.from(
    { length: UPSTREAMS },
    (_, number) => createInstance(number),
  );
  history.replace(all);
  const revision = history.list?.revision ?? "";
  const whole = history.findUpdate("")?.length ?? 0;
  history.replace([createInstance(0, true), ...all.slice(1)]);
  const change = history.findUpdate(revision)?.length ?? 0;
  t.comment({ whole, change, allGateways: change * GATEWAYS });
  t.ok(change < 500, `${change} bytes`);
  t.ok(whole < 200_000, `${whole} bytes`);
  t.equal(
    history.findUpdate(revision),
    history.findUpdate(revision),
    "the packed update is cached",
  );
  t.end();
});

import type { QuotaLimit } from "@mallowlift/core";
import fc from "fast-check";
import { test } from "tap";
import { Quotas } from "./quotas.ts";

const SEED = 1;
const RUNS = 300;
const BOUND: QuotaLimit = {
  workspace: "north",
  version: 1,
  most: 10,
  spanMilliseconds: 1_000,
};

function take(quotas: Quotas, needed: number, at: number, bound = BOUND) {
  return quotas.charge({ ...bound, needed, spare: 0 }, at);
}

// Guards against exceeding the bound in a span that begins within a slot.
test("no span contains more permits than the bound, for any requests", (t) => {
  const requests = fc.array(
    fc.record({
      pause: fc.integer({ min: 0, max: 400 }),
      needed: fc.integer({ min: 0, max: 15 }),
      spare: fc.integer({ min: 0, max: 15 }),
    }),
    { maxLength: 60 },
  );
  fc.assert(
    fc.property(requests, (steps) => {
      const quotas = new Quotas();
      const grants: { at: number; count: number }[] = [];
      let at = 0;
      for (const { pause, needed, spare } of steps) {
        at += pause;
        const { granted } = quotas.charge({ ...BOUND, needed, spare }, at);
        grants.push({ at, count: granted });
        const since = at - BOUND.spanMilliseconds;
        const recent = grants.filter((grant) => grant.at >= since);
        const sum = recent.reduce((total, { count }) => total + count, 0);
        if (sum > BOUND.most) return false;
      }
      return true;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.end();
});

test("a permit is available after the wait that a refusal returns, not before", (t) => {
  const requests = fc.array(
    fc.record({
      pause: fc.integer({ min: 0, max: 300 }),
      needed: fc.integer({ min: 1, max: 15 }),
    }),
    { maxLength: 30 },
  );
  fc.assert(
    fc.property(requests, (steps) => {
      const quotas = new Quotas();
      let at = 0;
      let wait = 0;
      for (const { pause, needed } of steps) {
        at += pause;
        wait = take(quotas, needed, at).retryAfterMilliseconds;
      }
      if (wait === 0) return true;
      const early = quotas.findWait(BOUND, at + wait - 1);
      return early > 0 && quotas.findWait(BOUND, at + wait) === 0;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.end();
});

test("spare permits are granted only well below the bound", (t) => {
  const quotas = new Quotas();
  t.equal(quotas.charge({ ...BOUND, needed: 1, spare: 20 }, 0).granted, 7);
  t.equal(quotas.charge({ ...BOUND, needed: 1, spare: 20 }, 0).granted, 1);
  t.end();
});

test("the bound of the highest version applies to all callers", (t) => {
  const quotas = new Quotas();
  t.equal(take(quotas, 2, 0).granted, 2);
  const lower = { ...BOUND, version: 2, most: 3 };
  t.equal(take(quotas, 5, 10, lower).granted, 1);
  t.equal(take(quotas, 5, 20).granted, 0, "a caller with an older document");
  t.end();
});

test("the quotas of workspaces are independent", (t) => {
  const quotas = new Quotas();
  t.equal(take(quotas, 20, 0).granted, 10);
  t.equal(take(quotas, 20, 0, { ...BOUND, workspace: "south" }).granted, 10);
  t.end();
});

// Guards against a new leader that grants permits again which the old one has granted.
test("a restored state counts the permits granted before", (t) => {
  const quotas = new Quotas();
  take(quotas, 4, 0);
  take(quotas, 4, 300);
  const other = new Quotas();
  other.restore(quotas.store());
  t.same(other.store(), quotas.store());
  t.equal(take(other, 20, 400).granted, 2);
  t.equal(take(quotas, 20, 400).granted, 2);
  other.sweep(700_000);
  t.equal(other.size, 0);
  t.end();
});

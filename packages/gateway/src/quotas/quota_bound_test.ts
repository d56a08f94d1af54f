import fc from "fast-check";
import { test } from "tap";
import { findWorkspaceQuota } from "./quota_bound.ts";

const SEED = 1;
const TERMS = { windowSeconds: 5, overage: 0.1, slack: 20 };

function createWorkspace(ratePerSecond: number, burst: number) {
  return { name: "north", keyDigests: [], ratePerSecond, burst };
}

test("a workspace without a rate has no quota", (t) => {
  const options = { version: 1, terms: TERMS };
  t.equal(findWorkspaceQuota(createWorkspace(0, 100), options), undefined);
  t.end();
});

test("a bound never exceeds the terms and admits a steady load at the rate", (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 500 }),
      fc.integer({ min: 0, max: 500 }),
      (rate, burst) => {
        const workspace = createWorkspace(rate, burst);
        const quota = findWorkspaceQuota(workspace, {
          version: 1,
          terms: TERMS,
        });
        if (quota === undefined) return false;
        const { most, spanMilliseconds } = quota.bound;
        const allowed = (rate * 5 + burst) * 1.1 + 20;
        const steady = rate * spanMilliseconds / 1_000;
        return most < allowed && steady <= most + 1 &&
          spanMilliseconds === 5_000 + quota.permitLifetimeMilliseconds;
      },
    ),
    { seed: SEED },
  );
  t.end();
});

test("without slack and overage a permit has the shortest lifetime", (t) => {
  const terms = { windowSeconds: 5, overage: 0, slack: 0 };
  const quota = findWorkspaceQuota(createWorkspace(2, 0), {
    version: 1,
    terms,
  });
  t.equal(quota?.bound.most, 10);
  t.equal(quota?.permitLifetimeMilliseconds, 250);
  t.end();
});

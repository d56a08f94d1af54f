import fc from "fast-check";
import { test } from "tap";
import { ExpectedFinish } from "./expected_finish.ts";
import { LeastLoaded } from "./least_loaded.ts";
import { hasCapacity, type PlacementCandidate } from "./placement_policy.ts";
import { PrefixAffinity } from "./prefix_affinity.ts";
import { LeastAttainedService } from "./queue_order.ts";
import { RoundRobin } from "./round_robin.ts";

const SEED = 1;
const CALL = { programId: "p", promptTokens: 2_000, maxTokens: 100 };

const candidate: fc.Arbitrary<PlacementCandidate> = fc.record({
  sidecarId: fc.string(),
  failureDomain: fc.constant("hall-kawah"),
  ownCalls: fc.nat(32),
  otherCalls: fc.nat(16),
  slots: fc.integer({ min: 1, max: 16 }),
  queueLimit: fc.nat(32),
  stepMilliseconds: fc.integer({ min: 1, max: 20 }),
  cachedTokens: fc.nat(2_000),
});

test("every policy chooses a candidate with capacity if there is one", (t) => {
  const policies = [
    new RoundRobin(),
    new LeastLoaded(),
    new PrefixAffinity(),
    new ExpectedFinish(1),
  ];
  fc.assert(
    fc.property(fc.array(candidate, { maxLength: 8 }), (candidates) => {
      for (const policy of policies) {
        const chosen = policy.choose(CALL, candidates);
        if (chosen === undefined) {
          t.notOk(candidates.some(hasCapacity), policy.name);
        } else t.ok(hasCapacity(chosen), policy.name);
      }
    }),
    { seed: SEED, numRuns: 200 },
  );
  t.end();
});

test("expected finish prefers a cached prompt at equal load, but not behind a long queue", (t) => {
  const base = {
    failureDomain: "",
    ownCalls: 1,
    otherCalls: 0,
    slots: 8,
    queueLimit: 8,
    stepMilliseconds: 5,
  };
  const cold = { ...base, sidecarId: "cold", cachedTokens: 0 };
  const warm = { ...base, sidecarId: "warm", cachedTokens: 1_900 };
  t.equal(new ExpectedFinish(1).choose(CALL, [cold, warm])?.sidecarId, "warm");
  const full = { ...warm, ownCalls: 8, otherCalls: 7 };
  t.equal(new ExpectedFinish(0).choose(CALL, [cold, full])?.sidecarId, "cold");
  t.end();
});

test("a call that has waited long enough runs before newer calls of any priority", (t) => {
  const order = new LeastAttainedService();
  fc.assert(
    fc.property(
      fc.record({ priority: fc.nat(20), attainedTokens: fc.nat(100_000) }),
      fc.array(
        fc.record({ priority: fc.nat(20), attainedTokens: fc.nat(100_000) }),
        { minLength: 1 },
      ),
      (old, others) => {
        const now = 150_000;
        const newer = others.map((call) => ({ ...call, arrivedAt: now }));
        t.equal(
          order.choose([...newer, { ...old, arrivedAt: 0 }], now),
          newer.length,
        );
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
  t.end();
});

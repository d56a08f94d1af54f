import type { OrderResult, Outcome, ResourceOrder } from "@mallowlift/core";
import fc from "fast-check";
import { test } from "tap";
import { ConfigurationState } from "./configuration_state.ts";
import { ConfigurationView } from "./configuration_view.ts";
import { checkSpec, findResourceKind } from "./resource_schemas.ts";

const SEED = 1;

const order: fc.Arbitrary<ResourceOrder> = fc.record({
  orderId: fc.constantFrom("o1", "o2", "o3", "o4", "o5"),
  kind: fc.constant("priority" as const),
  name: fc.constantFrom("a", "b"),
  expectedVersion: fc.nat(3),
  spec: fc.option(fc.record({ level: fc.nat(3) }), { nil: undefined }),
});

function apply(
  state: ConfigurationState,
  next: ResourceOrder,
): Outcome<OrderResult> {
  return state.apply({ type: "order", order: next }, 1) as Outcome<OrderResult>;
}

test("exactly one of two orders with the same expected version succeeds", (t) => {
  const state = new ConfigurationState();
  const base = { kind: "priority" as const, name: "a", expectedVersion: 0 };
  const first = apply(state, { ...base, orderId: "x", spec: { level: 1 } });
  const second = apply(state, { ...base, orderId: "y", spec: { level: 2 } });
  t.ok(first.ok);
  t.equal(second.err && second.val.code.name, "VERSION_CONFLICT");
  t.end();
});

test("a retried order takes effect once and returns its first result", (t) => {
  fc.assert(
    fc.property(fc.array(order, { maxLength: 30 }), (orders) => {
      const state = new ConfigurationState();
      for (const next of orders) {
        const first = apply(state, next);
        const { revision } = state;
        const again = apply(state, next);
        if (first.ok) t.same(again.val, first.val);
        t.equal(state.revision, revision);
      }
    }),
    { seed: SEED, numRuns: 200 },
  );
  t.end();
});

test("a follower reaches the leader's state and never returns to an older one", (t) => {
  fc.assert(
    fc.property(
      fc.array(order, { maxLength: 30 }),
      fc.array(fc.nat(), { maxLength: 10 }),
      (orders, stale) => {
        const state = new ConfigurationState();
        const view = new ConfigurationView();
        for (const next of orders) {
          apply(state, next);
          const changes = state.findChanges(view.revision);
          const whole = changes === undefined;
          const resources = whole ? state.resources : [];
          view.update({
            revision: state.revision,
            whole,
            resources,
            changes: changes ?? [],
          });
          for (const revision of stale) {
            const before = view.revision;
            view.update({
              revision: revision % (before + 1),
              whole: true,
              resources: [],
              changes: [],
            });
            if (view.revision !== before) return false;
          }
        }
        t.same(
          view.list("priority").map((known) => known.revision).sort(),
          state.resources.map((known) => known.revision).sort(),
        );
        return true;
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
  t.end();
});

test("a snapshot preserves resources, stored orders and leases", (t) => {
  fc.assert(
    fc.property(fc.array(order, { maxLength: 30 }), (orders) => {
      const state = new ConfigurationState();
      for (const next of orders) apply(state, next);
      state.apply({ type: "lease", upstream: "u", holder: "h" }, 9);
      const restored = new ConfigurationState();
      restored.restore(Buffer.concat(state.takeSnapshot()));
      t.same(restored.resources, state.resources);
      t.equal(restored.findLease("u")?.fencingNumber, 9);
      for (const next of orders) {
        t.same(apply(restored, next), apply(state, next));
      }
    }),
    { seed: SEED, numRuns: 50 },
  );
  t.end();
});

test("checkSpec never throws, and inherited property names are not resource kinds", (t) => {
  const kinds = [
    "upstream",
    "model",
    "adapter",
    "service",
    "outfit",
    "budget",
    "priority",
  ] as const;
  fc.assert(
    fc.property(fc.constantFrom(...kinds), fc.jsonValue(), (kind, spec) => {
      checkSpec(kind, spec);
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.equal(findResourceKind("toString"), undefined);
  t.end();
});

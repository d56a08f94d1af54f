import fc from "fast-check";
import { test } from "tap";
import { planOrders } from "./plan_orders.ts";

const SEED = 1;
const models = fc.uniqueArray(fc.constantFrom("a", "b", "c", "d"));
const role = fc.constantFrom(
  "mixed" as const,
  "prefill" as const,
  "decode" as const,
);

test("the orders bring any state to the wanted one, which needs no more orders", (t) => {
  fc.assert(
    fc.property(
      models,
      role,
      models,
      role,
      (wantedModels, wantedRole, loaded, actualRole) => {
        const wanted = { models: wantedModels, role: wantedRole };
        let state = { models: loaded, role: actualRole as string };
        for (const { action, target } of planOrders(wanted, state)) {
          if (action === "load") {
            state = {
              ...state,
              models: [...state.models, target] as typeof loaded,
            };
          }
          if (action === "unload") {
            state = {
              ...state,
              models: state.models.filter((loadedModel) =>
                loadedModel !== target
              ),
            };
          }
          if (action === "set_role") state = { ...state, role: target };
        }
        t.same([...state.models].sort(), [...wantedModels].sort());
        t.same(planOrders(wanted, state), []);
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
  t.end();
});

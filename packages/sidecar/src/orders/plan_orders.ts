/** Which orders bring an engine from its state to the wanted one. */

import type { UpstreamSpec } from "@mallowlift/core";
import type { EngineOrder, EngineState } from "./engine_orders.ts";

/**
 * Returns the orders still to be given, in order: what is not wanted leaves
 * first, so that there is room for what is.
 *
 * @example
 * ```ts
 * planOrders(spec, { models: ["old"], role: "mixed" });
 * // [{ action: "unload", target: "old" }, { action: "load", target: "new" }]
 * ```
 */
export function planOrders(
  wanted: Pick<UpstreamSpec, "models" | "role">,
  state: EngineState,
): readonly EngineOrder[] {
  const orders: EngineOrder[] = [];
  for (const model of state.models) {
    if (!wanted.models.includes(model)) {
      orders.push({ action: "unload", target: model });
    }
  }
  for (const model of wanted.models) {
    if (!state.models.includes(model)) {
      orders.push({ action: "load", target: model });
    }
  }
  if (state.role !== wanted.role) {
    orders.push({ action: "set_role", target: wanted.role });
  }
  return orders;
}

/** Plans the orders that bring an engine from its state to the wanted one. */

import type { UpstreamSpec } from "@mallowlift/core";
import type { EngineOrder, EngineState } from "./engine_orders.ts";

/**
 * Returns the orders that are still needed, in the order in which to send
 * them. Unwanted models are unloaded first to make room for the wanted ones.
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

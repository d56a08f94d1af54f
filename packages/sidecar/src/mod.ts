/** The sidecar role: the only access to one upstream. */

export * from "./attempts/admission.ts";
export * from "./attempts/attempt.ts";
export * from "./attempts/attempt_table.ts";
export * from "./attempts/fence.ts";
export * from "./orders/engine_orders.ts";
export * from "./orders/order_reconciler.ts";
export * from "./orders/plan_orders.ts";
export * from "./reports/reporter.ts";
export * from "./reports/session_cleaner.ts";
export * from "./sidecar_role.ts";
export * from "./upstream/engine_client.ts";
export * from "./upstream/engine_stream.ts";
export * from "./upstream/event_lines.ts";
export * from "./upstream/service_client.ts";
export * from "./upstream/upstream_client.ts";

/** Placement policies of replicas and queue orders of sidecars. */

export * from "./create_policies.ts";
export * from "./expected_finish.ts";
export * from "./least_loaded.ts";
export * from "./placement_policy.ts";
export * from "./prefix_affinity.ts";
export * from "./queue_order.ts";
export * from "./round_robin.ts";

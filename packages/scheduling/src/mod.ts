/**
 * Decisions under load: placement policies of replicas, queue orders of sidecars,
 * and the placement and order of turns at the leader of a site.
 */

export * from "./admission/fair_shares.ts";
export * from "./admission/program_admission.ts";
export * from "./admission/request_order.ts";
export * from "./admission/start_order.ts";
export * from "./create_policies.ts";
export * from "./expected_finish.ts";
export * from "./least_loaded.ts";
export * from "./placement_policy.ts";
export * from "./prefix_affinity.ts";
export * from "./queue_order.ts";
export * from "./round_robin.ts";
export * from "./turns/program_length.ts";
export * from "./turns/service_line.ts";
export * from "./turns/site_placement.ts";
export * from "./turns/turn_demand.ts";
export * from "./turns/turn_line.ts";
export * from "./turns/turn_placement.ts";
export * from "./turns/workspace_programs.ts";

/** The gateway role: routes callers' requests to upstreams. */

export * from "./calls/open_call.ts";
export * from "./calls/program_urgency.ts";
export * from "./calls/turn_cache.ts";
export * from "./dialect.ts";
export * from "./gateway_role.ts";
export * from "./http/event_splitter.ts";
export * from "./http/headers.ts";
export * from "./http/prompt_parts.ts";
export * from "./native_dialect.ts";
export * from "./quotas/permit_pool.ts";
export * from "./quotas/quota_bound.ts";
export * from "./quotas/spare_policy.ts";
export * from "./routing/route_table.ts";
export * from "./site/site_client.ts";
export * from "./upstreams/prompt_memory.ts";
export * from "./upstreams/upstream.ts";
export * from "./upstreams/upstream_connection.ts";
export * from "./upstreams/upstream_table.ts";
export * from "./workspaces/bearer_key.ts";

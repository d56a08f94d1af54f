/** The entry role, which serves HTTP to callers and operators. */

export * from "./entry_role.ts";
export * from "./owners/owner_directory.ts";
export * from "./http/check_body.ts";
export * from "./callers/caller_schemas.ts";
export * from "./callers/stream_follower.ts";
export * from "./operators/collect_status.ts";

/** The configuration: schemas, replicated state, and a daemon's copy of it. */

export * from "./resource_schemas.ts";
export * from "./configuration_state.ts";
export * from "./configuration_view.ts";
export * from "./configuration_follower.ts";

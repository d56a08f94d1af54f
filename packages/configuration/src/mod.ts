/** The configuration: its replicated state, and following it. */

export * from "./resource_schemas.ts";
export * from "./configuration_state.ts";
export * from "./configuration_view.ts";
export * from "./configuration_follower.ts";

/**
 * The replica role: stores the replicated state and runs the calls of programs.
 */

export * from "./calls/attempt_end.ts";
export * from "./calls/build_prompt.ts";
export * from "./calls/call_listeners.ts";
export * from "./calls/call_runner.ts";
export * from "./calls/run_attempt.ts";
export * from "./configuration/configuration_owner.ts";
export * from "./programs/program_owner.ts";
export * from "./replica_app.ts";
export * from "./replica_role.ts";
export * from "./sidecars/cache_records.ts";
export * from "./sidecars/placement.ts";
export * from "./sidecars/sidecar_directory.ts";

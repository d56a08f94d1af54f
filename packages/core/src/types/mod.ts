/** Types of the messages between processes and of their contents. */

export * from "./calls.ts";
export * from "./consensus.ts";
export * from "./instances.ts";
export * from "./internal_handlers.ts";
export * from "./programs.ts";
export * from "./quarantine.ts";
export * from "./quotas.ts";
export * from "./resources.ts";
export * from "./routing.ts";
export * from "./sidecars.ts";
export * from "./site.ts";

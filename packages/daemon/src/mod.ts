/** The mallowlift daemon. */

export * from "./daemon.ts";
export * from "./dialects.ts";
export * from "./health_server.ts";
export * from "./main.ts";
export * from "./stall_watch.ts";
export * from "./tokens.ts";

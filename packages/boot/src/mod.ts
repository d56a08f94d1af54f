/** First steps of a daemon; they need next to no code, so they come at once. */

export * from "./boot_daemon.ts";
export * from "./find_callers_listen.ts";
export * from "./held_port.ts";
export * from "./load_script.ts";

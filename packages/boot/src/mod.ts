/** Boot of a daemon, kept small so that the port for callers opens early. */

export * from "./boot_daemon.ts";
export * from "./callers_address.ts";
export * from "./held_port.ts";
export * from "./load_script.ts";

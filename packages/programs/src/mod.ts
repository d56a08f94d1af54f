/** The replicated state of agent programs. */

export * from "./budget.ts";
export * from "./call_commands.ts";
export * from "./commands.ts";
export * from "./program_commands.ts";
export * from "./program_records.ts";
export * from "./program_state.ts";

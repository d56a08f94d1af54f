/** The replicated state of a site: turns, budgets, quotas and the routing document. */

export * from "./budgets.ts";
export * from "./quotas.ts";
export * from "./site_commands.ts";
export * from "./site_state.ts";
export * from "./turn_tree.ts";
export * from "./check_document.ts";
export * from "./document_uploads.ts";
export * from "./instance_updates.ts";
export * from "./packed_document.ts";

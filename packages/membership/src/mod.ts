/** Directory of the daemons of a site, discovered through a few seeds. */

export * from "./directory.ts";
export * from "./directory_task.ts";
export * from "./founder_grants.ts";

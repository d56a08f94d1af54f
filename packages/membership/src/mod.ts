/** Directory of daemons, found from a few seeds. */

export * from "./directory.ts";
export * from "./directory_task.ts";
export * from "./founder_grants.ts";

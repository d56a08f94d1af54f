/** Public interface of the bench: the example site and its client. */

export * from "./site/fakes_process.ts";
export * from "./site/site.ts";
export * from "./site/site_client.ts";
export * from "./site/site_plan.ts";

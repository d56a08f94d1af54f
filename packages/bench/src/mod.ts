/** The example site, benchmarks and the soak. */

export * from "./site/fakes_process.ts";
export * from "./site/site.ts";
export * from "./site/site_client.ts";
export * from "./site/site_plan.ts";

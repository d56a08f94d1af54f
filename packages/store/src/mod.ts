/** The store role: the replicated state behind the gateways. */

export * from "./instance_source.ts";
export * from "./instance_reader.ts";
export * from "./read_instance.ts";
export * from "./site_owner.ts";
export * from "./store_replicas.ts";
export * from "./store_role.ts";

/** Fake engines, services and upstreams for tests, and a fault-injecting proxy. */

export * from "./engine/generation.ts";
export * from "./engine/fake_engine.ts";
export * from "./engine/prefix_cache.ts";
export * from "./proxy/fault_proxy.ts";
export * from "./service/fake_service.ts";
export * from "./opaque/opaque_upstream.ts";
export * from "./opaque/cut_heads.ts";
export * from "./opaque/endless_answers.ts";
export * from "./opaque/unruly_upstream.ts";

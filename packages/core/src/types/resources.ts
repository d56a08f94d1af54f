/** Resources that operators declare. */

/** Kinds of resources. */
export const RESOURCE_KINDS = {
  UPSTREAM: "upstream",
  MODEL: "model",
  ADAPTER: "adapter",
  SERVICE: "service",
  OUTFIT: "outfit",
  BUDGET: "budget",
  PRIORITY: "priority",
} as const;

/** One of {@linkcode RESOURCE_KINDS}. */
export type ResourceKind = typeof RESOURCE_KINDS[keyof typeof RESOURCE_KINDS];

/** An upstream: one engine or one instance of a plain service. */
export interface UpstreamSpec {
  readonly type: "model" | "service";
  /** Models and adapters that the engine should have loaded. */
  readonly models: readonly string[];
  /** Service that the instance is part of. */
  readonly service: string;
  /** Engine role: mixed, prefill or decode. */
  readonly role: "mixed" | "prefill" | "decode";
  /** True while the upstream is leaving. */
  readonly drain: boolean;
}

/** A model that engines can load. */
export interface ModelSpec {
  readonly version: string;
  readonly context_tokens: number;
}

/** An adapter on top of a model. */
export interface AdapterSpec {
  readonly model: string;
  readonly version: string;
}

/** A plain service. */
export interface ServiceSpec {
  /** Operations that may run more than once. */
  readonly idempotent_operations: readonly string[];
}

/** An outfit, its tokens and what its programs may use. */
export interface OutfitSpec {
  /** SHA-256 of each bearer token, in hexadecimal. */
  readonly token_sha256: readonly string[];
  readonly models: readonly string[];
  readonly services: readonly string[];
  readonly priorities: readonly string[];
}

/** Limits on the programs of one outfit. */
export interface BudgetSpec {
  readonly outfit: string;
  readonly tokens_per_program: number;
  readonly turns_per_program: number;
}

/** A named priority. */
export interface PrioritySpec {
  readonly level: number;
}

/** Spec type for each kind. */
export interface ResourceSpecs {
  readonly upstream: UpstreamSpec;
  readonly model: ModelSpec;
  readonly adapter: AdapterSpec;
  readonly service: ServiceSpec;
  readonly outfit: OutfitSpec;
  readonly budget: BudgetSpec;
  readonly priority: PrioritySpec;
}

/** A resource with its version. */
export interface Resource<K extends ResourceKind = ResourceKind> {
  readonly kind: K;
  readonly name: string;
  /** Counts the changes of this resource, from 1. */
  readonly version: number;
  /** Global revision of the last change of this resource. */
  readonly revision: number;
  readonly spec: ResourceSpecs[K];
}

/** One change, as a watcher sees it. */
export interface ResourceChange {
  readonly revision: number;
  readonly kind: ResourceKind;
  readonly name: string;
  /** The new state; missing when the resource was deleted. */
  readonly resource?: Resource;
}

/** A write that an operator orders. */
export interface ResourceOrder {
  /** Idempotency key: a resent order gets its first answer. */
  readonly orderId: string;
  readonly kind: ResourceKind;
  readonly name: string;
  /** Version that the operator saw; 0 for a new resource. */
  readonly expectedVersion: number;
  /** The new spec; missing to delete the resource. */
  readonly spec?: ResourceSpecs[ResourceKind];
}

/** Result of an accepted order. */
export interface OrderResult {
  readonly revision: number;
  readonly version: number;
}

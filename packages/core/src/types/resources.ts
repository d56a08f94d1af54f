/** Configuration resources that operators declare. */

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

/** An upstream: a model engine or an instance of a service. */
export interface UpstreamSpec {
  readonly type: "model" | "service";
  /** Models and adapters that the engine should keep loaded. */
  readonly models: readonly string[];
  /** Service that the instance belongs to. */
  readonly service: string;
  /** Phases that the engine runs: prefill, decode or both (mixed). */
  readonly role: "mixed" | "prefill" | "decode";
  /** True while the upstream is draining and gets no new work. */
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

/** A service that is not a model. */
export interface ServiceSpec {
  /** Operations that may run more than once. */
  readonly idempotent_operations: readonly string[];
}

/** An outfit, its bearer tokens and what its programs may use. */
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

/** Maps each kind to the type of its spec. */
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
  /** Number of changes to this resource; 1 when it is created. */
  readonly version: number;
  /** Global revision at which this resource last changed. */
  readonly revision: number;
  readonly spec: ResourceSpecs[K];
}

/** A change to a resource, as sent to watchers. */
export interface ResourceChange {
  readonly revision: number;
  readonly kind: ResourceKind;
  readonly name: string;
  /** The new state; missing if the resource was deleted. */
  readonly resource?: Resource;
}

/** An operator's order to create, update or delete a resource. */
export interface ResourceOrder {
  /** Idempotency key: an order that is sent again gets the first result. */
  readonly orderId: string;
  readonly kind: ResourceKind;
  readonly name: string;
  /** Version that the change is based on; 0 for a new resource. */
  readonly expectedVersion: number;
  /** The new spec; missing if the resource is to be deleted. */
  readonly spec?: ResourceSpecs[ResourceKind];
}

/** Result of an accepted order. */
export interface OrderResult {
  readonly revision: number;
  readonly version: number;
}

/** The replicated state of the configuration group. */

import { decode, encode } from "cbor-x";
import {
  fail,
  hashText,
  type OrderResult,
  type Outcome,
  type Resource,
  type ResourceChange,
  type ResourceOrder,
  RESULT_CODES,
  serializeStable,
} from "@mallowlift/core";
import { Ok } from "ts-results";

const KEPT_ORDERS = 20_000;
const KEPT_CHANGES = 5_000;

/** Writes a resource. */
export interface OrderCommand {
  readonly type: "order";
  readonly order: ResourceOrder;
}

/** Gives the lease on an upstream's orders to a holder. */
export interface LeaseCommand {
  readonly type: "lease";
  readonly upstream: string;
  readonly holder: string;
}

/** Commands of the configuration group. */
export type ConfigurationCommand = OrderCommand | LeaseCommand;

/** The holder of the lease on an upstream's orders. */
export interface Lease {
  readonly upstream: string;
  readonly holder: string;
  /** Grows with each new holder, over all upstreams. */
  readonly fencingNumber: number;
}

interface KeptOrder {
  readonly orderId: string;
  readonly digest: string;
  readonly result: OrderResult;
}

interface StoredConfiguration {
  readonly revision: number;
  readonly resources: readonly Resource[];
  readonly changes: readonly ResourceChange[];
  readonly orders: readonly KeptOrder[];
  readonly leases: readonly Lease[];
}

/** Resources, kept orders and leases. */
export class ConfigurationState {
  #revision = 0;
  #resources = new Map<string, Resource>();
  #changes: ResourceChange[] = [];
  #orders = new Map<string, KeptOrder>();
  #leases = new Map<string, Lease>();

  /** Revision of the last change. */
  get revision(): number {
    return this.#revision;
  }

  /** All resources. */
  get resources(): readonly Resource[] {
    return [...this.#resources.values()];
  }

  /** Returns the lease on an upstream, if one was ever given. */
  findLease(upstream: string): Lease | undefined {
    return this.#leases.get(upstream);
  }

  /**
   * Returns the changes after a revision, or undefined if they are no longer
   * all kept.
   */
  findChanges(afterRevision: number): readonly ResourceChange[] | undefined {
    const oldest = this.#changes[0]?.revision ?? this.#revision + 1;
    if (afterRevision > this.#revision || afterRevision + 1 < oldest) {
      return undefined;
    }
    return this.#changes.slice(afterRevision + 1 - oldest);
  }

  /** Applies a committed command. */
  apply(command: unknown, index: number): Outcome<OrderResult> | Lease {
    const known = command as ConfigurationCommand;
    if (known.type === "order") return this.#applyOrder(known.order);
    const lease = {
      upstream: known.upstream,
      holder: known.holder,
      fencingNumber: index,
    };
    this.#leases.set(known.upstream, lease);
    return lease;
  }

  /** Serializes the state. */
  takeSnapshot(): readonly Uint8Array[] {
    const stored: StoredConfiguration = {
      revision: this.#revision,
      resources: this.resources,
      changes: this.#changes,
      orders: [...this.#orders.values()],
      leases: [...this.#leases.values()],
    };
    return [encode(stored)];
  }

  /** Replaces the state by a serialized one. */
  restore(snapshot: Uint8Array): void {
    const empty = {
      revision: 0,
      resources: [],
      changes: [],
      orders: [],
      leases: [],
    };
    const stored = snapshot.length === 0
      ? empty
      : decode(snapshot) as StoredConfiguration;
    this.#revision = stored.revision;
    this.#changes = [...stored.changes];
    this.#resources = new Map();
    this.#orders = new Map();
    this.#leases = new Map();
    for (const resource of stored.resources) {
      this.#resources.set(formatKey(resource), resource);
    }
    for (const order of stored.orders) this.#orders.set(order.orderId, order);
    for (const lease of stored.leases) this.#leases.set(lease.upstream, lease);
  }

  #applyOrder(order: ResourceOrder): Outcome<OrderResult> {
    const digest = hashText(serializeStable(order));
    const kept = this.#orders.get(order.orderId);
    if (kept !== undefined) {
      if (kept.digest === digest) return Ok(kept.result);
      return fail(
        RESULT_CODES.REQUEST_ID_REUSED,
        "The order id was used for another order",
      );
    }
    const written = this.#write(order);
    if (written.err) return written;
    this.#orders.set(order.orderId, {
      orderId: order.orderId,
      digest,
      result: written.val,
    });
    if (this.#orders.size > KEPT_ORDERS) {
      for (const oldest of this.#orders.keys()) {
        this.#orders.delete(oldest);
        break;
      }
    }
    return written;
  }

  #write(order: ResourceOrder): Outcome<OrderResult> {
    const key = formatKey(order);
    const current = this.#resources.get(key);
    const version = current?.version ?? 0;
    if (version !== order.expectedVersion) {
      const message =
        `The resource has version ${version}, not ${order.expectedVersion}`;
      return fail(RESULT_CODES.VERSION_CONFLICT, message);
    }
    const { kind, name, spec } = order;
    if (spec === undefined && current === undefined) {
      return fail(RESULT_CODES.RESOURCE_NOT_FOUND, "There is no such resource");
    }
    const revision = ++this.#revision;
    if (spec === undefined) {
      this.#resources.delete(key);
      this.#noteChange({ revision, kind, name });
      return Ok({ revision, version: 0 });
    }
    const resource: Resource = {
      kind,
      name,
      version: version + 1,
      revision,
      spec,
    };
    this.#resources.set(key, resource);
    this.#noteChange({ revision, kind, name, resource });
    return Ok({ revision, version: resource.version });
  }

  #noteChange(change: ResourceChange): void {
    this.#changes.push(change);
    if (this.#changes.length > KEPT_CHANGES) this.#changes.shift();
  }
}

function formatKey(
  resource: { readonly kind: string; readonly name: string },
): string {
  return `${resource.kind}/${resource.name}`;
}

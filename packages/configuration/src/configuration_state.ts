/** Replicated state machine of the configuration group. */

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

const MAX_STORED_ORDERS = 20_000;
const MAX_STORED_CHANGES = 5_000;

/** Command that writes or deletes a resource. */
export interface OrderCommand {
  readonly type: "order";
  readonly order: ResourceOrder;
}

/** Command that grants a holder the lease to send orders to an upstream. */
export interface LeaseCommand {
  readonly type: "lease";
  readonly upstream: string;
  readonly holder: string;
}

/** Any command of the configuration group. */
export type ConfigurationCommand = OrderCommand | LeaseCommand;

/** Lease whose holder alone may send orders to an upstream. */
export interface Lease {
  readonly upstream: string;
  readonly holder: string;
  /** Increases with each new holder, across all upstreams. */
  readonly fencingNumber: number;
}

interface StoredOrder {
  readonly orderId: string;
  readonly digest: string;
  readonly result: OrderResult;
}

interface StoredConfiguration {
  readonly revision: number;
  readonly resources: readonly Resource[];
  readonly changes: readonly ResourceChange[];
  readonly orders: readonly StoredOrder[];
  readonly leases: readonly Lease[];
}

/**
 * Holds the resources, the latest changes, the results of the latest orders
 * (to deduplicate retries) and the leases.
 */
export class ConfigurationState {
  #revision = 0;
  #resources = new Map<string, Resource>();
  #changes: ResourceChange[] = [];
  #orders = new Map<string, StoredOrder>();
  #leases = new Map<string, Lease>();

  /** Revision of the last change. */
  get revision(): number {
    return this.#revision;
  }

  /** All resources. */
  get resources(): readonly Resource[] {
    return [...this.#resources.values()];
  }

  /** Returns the latest lease on an upstream, or undefined if there was none. */
  findLease(upstream: string): Lease | undefined {
    return this.#leases.get(upstream);
  }

  /**
   * Returns the changes after a revision, or undefined if some of them have been
   * discarded or the revision is later than the last one.
   */
  findChanges(afterRevision: number): readonly ResourceChange[] | undefined {
    const oldest = this.#changes[0]?.revision ?? this.#revision + 1;
    if (afterRevision > this.#revision || afterRevision + 1 < oldest) {
      return undefined;
    }
    return this.#changes.slice(afterRevision + 1 - oldest);
  }

  /**
   * Applies a committed command.
   *
   * @param index log index of the command, which becomes the fencing number of a
   * lease
   */
  apply(command: unknown, index: number): Outcome<OrderResult> | Lease {
    const typed = command as ConfigurationCommand;
    if (typed.type === "order") return this.#applyOrder(typed.order);
    const lease = {
      upstream: typed.upstream,
      holder: typed.holder,
      fencingNumber: index,
    };
    this.#leases.set(typed.upstream, lease);
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

  /** Replaces the state with a serialized one; an empty snapshot clears it. */
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
    const stored = this.#orders.get(order.orderId);
    if (stored !== undefined) {
      if (stored.digest === digest) return Ok(stored.result);
      return fail(
        RESULT_CODES.REQUEST_ID_REUSED,
        "The order id was already used for a different order",
      );
    }
    const written = this.#writeResource(order);
    if (written.err) return written;
    this.#orders.set(order.orderId, {
      orderId: order.orderId,
      digest,
      result: written.val,
    });
    if (this.#orders.size > MAX_STORED_ORDERS) {
      for (const oldest of this.#orders.keys()) {
        this.#orders.delete(oldest);
        break;
      }
    }
    return written;
  }

  #writeResource(order: ResourceOrder): Outcome<OrderResult> {
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
      return fail(RESULT_CODES.RESOURCE_NOT_FOUND, "Resource not found");
    }
    const revision = ++this.#revision;
    if (spec === undefined) {
      this.#resources.delete(key);
      this.#recordChange({ revision, kind, name });
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
    this.#recordChange({ revision, kind, name, resource });
    return Ok({ revision, version: resource.version });
  }

  #recordChange(change: ResourceChange): void {
    this.#changes.push(change);
    if (this.#changes.length > MAX_STORED_CHANGES) this.#changes.shift();
  }
}

function formatKey(
  resource: { readonly kind: string; readonly name: string },
): string {
  return `${resource.kind}/${resource.name}`;
}

/**
 * Reconciles an engine with its configuration by sending it orders. Only the
 * holder of the upstream's lease sends orders. It checks the lease by the
 * monotonic clock before each order, because not every engine checks the
 * fencing number.
 */

import { performance } from "node:perf_hooks";
import type { ConfigurationView } from "@mallowlift/configuration";
import { ABORTED, type Logger, sleep } from "@mallowlift/core";
import type { PeerClient } from "@mallowlift/transport";
import type { EngineOrderClient, EngineState } from "./engine_orders.ts";
import { planOrders } from "./plan_orders.ts";

const CALL_TIMEOUT_MILLISECONDS = 1_000;
const LEASE_MARGIN_DIVISOR = 4;

/** Options of {@linkcode OrderReconciler}. */
export interface OrderReconcilerOptions {
  readonly upstream: string;
  readonly bootId: string;
  readonly engine: EngineOrderClient;
  readonly view: ConfigurationView;
  readonly replicas: readonly PeerClient[];
  readonly leaseMilliseconds: number;
  readonly logger: Logger;
}

/** Periodically sends the orders that bring an engine to its wanted state. */
export class OrderReconciler {
  readonly #options: OrderReconcilerOptions;
  readonly #stopped = new AbortController();
  #leaseExpiresAt = -Infinity;
  #fencingNumber = 0;

  constructor(options: OrderReconcilerOptions) {
    this.#options = options;
  }

  /** Starts the periodic task. */
  start(): void {
    void this.#runLoop();
  }

  /** Stops the periodic task. */
  stop(): void {
    this.#stopped.abort(ABORTED);
  }

  async #runLoop(): Promise<void> {
    const interval = this.#options.leaseMilliseconds / 3;
    while (!this.#stopped.signal.aborted) {
      await this.#renewLease();
      await this.#reconcile().catch(() => {
        this.#options.logger.debug("Sending an order to the engine failed");
      });
      await sleep(interval, this.#stopped.signal);
    }
  }

  async #renewLease(): Promise<void> {
    const { upstream, bootId, leaseMilliseconds } = this.#options;
    for (const replica of this.#options.replicas) {
      // The lease is measured from before the request, so it expires here
      // before it expires at the replica.
      const requestedAt = performance.now();
      const reply = await replica.call("configuration.lease", {
        upstream,
        holder: bootId,
        durationMilliseconds: leaseMilliseconds,
      }, { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS });
      if (reply.err) continue;
      if (!reply.val.granted) return;
      this.#leaseExpiresAt = requestedAt + leaseMilliseconds;
      this.#fencingNumber = reply.val.fencingNumber;
      return;
    }
  }

  async #reconcile(): Promise<void> {
    const wanted = this.#options.view.find("upstream", this.#options.upstream);
    if (wanted === undefined) return;
    const state: EngineState = await this.#options.engine.readState();
    for (const order of planOrders(wanted.spec, state)) {
      if (!this.#holdsLease(performance.now())) return;
      await this.#options.engine.send(order, this.#fencingNumber);
      this.#options.logger.info("Order sent", {
        action: order.action,
        target: order.target,
      });
    }
  }

  #holdsLease(now: number): boolean {
    const margin = this.#options.leaseMilliseconds / LEASE_MARGIN_DIVISOR;
    return now < this.#leaseExpiresAt - margin;
  }
}

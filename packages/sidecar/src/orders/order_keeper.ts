/**
 * Gives the engine its orders. Only the holder of the upstream's lease sends
 * one, and it looks at the lease just before, by the monotonic clock: not
 * every engine checks the fencing number.
 */

import { performance } from "node:perf_hooks";
import type { ConfigurationView } from "@mallowlift/configuration";
import { ABORTED, type Logger, sleep } from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";
import type { EngineOrders, EngineState } from "./engine_orders.ts";
import { planOrders } from "./plan_orders.ts";

const ANSWER_MILLISECONDS = 1_000;
const MARGIN_SHARE = 4;

/** What the keeper needs. */
export interface OrderKeeperOptions {
  readonly upstream: string;
  readonly bootId: string;
  readonly engine: EngineOrders;
  readonly view: ConfigurationView;
  readonly replicas: readonly Caller[];
  readonly leaseMilliseconds: number;
  readonly logger: Logger;
}

/** Compares the engine's state with the wanted one, again and again. */
export class OrderKeeper {
  readonly #options: OrderKeeperOptions;
  readonly #stopped = new AbortController();
  #leaseUntil = -Infinity;
  #fencingNumber = 0;

  constructor(options: OrderKeeperOptions) {
    this.#options = options;
  }

  /** Starts the task. */
  start(): void {
    void this.#keep();
  }

  /** Ends the task. */
  stop(): void {
    this.#stopped.abort(ABORTED);
  }

  async #keep(): Promise<void> {
    const interval = this.#options.leaseMilliseconds / 3;
    while (!this.#stopped.signal.aborted) {
      await this.#renewLease();
      await this.#reconcile().catch(() => {
        this.#options.logger.debug("Engine did not take an order");
      });
      await sleep(interval, this.#stopped.signal);
    }
  }

  async #renewLease(): Promise<void> {
    const { upstream, bootId, leaseMilliseconds } = this.#options;
    for (const replica of this.#options.replicas) {
      // The lease counts from before the request, so it ends here first.
      const askedAt = performance.now();
      const reply = await replica.call("configuration.lease", {
        upstream,
        holder: bootId,
        durationMilliseconds: leaseMilliseconds,
      }, { timeoutMilliseconds: ANSWER_MILLISECONDS });
      if (reply.err) continue;
      if (!reply.val.granted) return;
      this.#leaseUntil = askedAt + leaseMilliseconds;
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
    const margin = this.#options.leaseMilliseconds / MARGIN_SHARE;
    return now < this.#leaseUntil - margin;
  }
}

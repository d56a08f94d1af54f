/** What the daemons of a site have spent of a processor since the last look. */

import type { GatewaySite, SiteDaemon } from "../gateways/gateway_site.ts";
import { readUsage } from "../measure/process_usage.ts";

/** Processor time of the daemons of one role, ms. */
export interface CostRow {
  /** What the time is counted for. */
  readonly per: string;
  readonly role: "gateway" | "store";
  readonly daemons: number;
  /** Mean of a daemon. */
  readonly mean: number;
  /** The daemon that spent most, which among stores is the leader. */
  readonly most: number;
}

/**
 * Takes the processor time of a site in steps.
 *
 * @example
 * ```ts
 * const watch = new CostWatch(site);
 * await sleep(10_000);
 * watch.take("idle second", 10); // a row for gateways and one for stores
 * ```
 */
export class CostWatch {
  readonly #site: GatewaySite;
  readonly #seen = new Map<string, number>();

  constructor(site: GatewaySite) {
    this.#site = site;
  }

  /** Time since the last step, divided by how often something was done in it. */
  take(per: string, times: number): readonly CostRow[] {
    const { gateways, stores } = this.#site;
    return [
      this.#takeRole({ per, times, role: "gateway" }, gateways),
      this.#takeRole({ per, times, role: "store" }, stores),
    ];
  }

  #takeRole(
    step: Pick<CostRow, "per" | "role"> & { readonly times: number },
    daemons: readonly SiteDaemon[],
  ): CostRow {
    const spent = daemons.map((daemon) => this.#takeOne(daemon) / step.times);
    const sum = spent.reduce((total, milliseconds) => total + milliseconds, 0);
    return {
      per: step.per,
      role: step.role,
      daemons: daemons.length,
      mean: sum / daemons.length,
      most: Math.max(...spent),
    };
  }

  #takeOne(daemon: SiteDaemon): number {
    const usage = readUsage(daemon.process.pid ?? 0);
    const now = (usage?.processorSeconds ?? 0) * 1_000;
    const before = this.#seen.get(daemon.name) ?? 0;
    this.#seen.set(daemon.name, now);
    return now - before;
  }
}

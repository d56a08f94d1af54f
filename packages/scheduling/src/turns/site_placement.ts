/** Placement of turns by expected finish, with the turns of all gateways in view. */

import type { UpstreamInstance } from "@mallowlift/core";
import { ConnectionTable } from "./connection_table.ts";
import { releaseOverdue, releaseSurplus } from "./lost_ends.ts";
import { type OpenTurn, OpenTurns } from "./open_turns.ts";
import {
  countProcessedTokens,
  createContext,
  findCost,
  findFinish,
  type PlacementContext,
  type PlacementCosts,
} from "./placement_cost.ts";
import { ServiceState } from "./service_state.ts";
import type { TurnDemand, TurnReport } from "./turn_demand.ts";
import type { ServiceRoom, TurnPlacement } from "./turn_placement.ts";
import { UpstreamState } from "./upstream_state.ts";

/** Range of the random addition that decides between equal upstreams, ms. */
const JITTER_MILLISECONDS = 1;
/** Time between two searches for turns that nobody will report, ms. */
const SEARCH_INTERVAL_MILLISECONDS = 100;

/** Options of {@linkcode SitePlacement}. */
export interface SitePlacementOptions extends PlacementCosts {
  /** Time for which gateways keep idle connections to upstreams, ms. */
  readonly idleConnectionMilliseconds: number;
}

/** Default options of {@linkcode SitePlacement}. */
export const DEFAULT_SITE_PLACEMENT_OPTIONS: SitePlacementOptions = {
  otherDomainMilliseconds: 3,
  connectMilliseconds: 10,
  failureMilliseconds: 1_000,
  fullMilliseconds: 20,
  idleConnectionMilliseconds: 8_000,
};

/**
 * Places each turn on the upstream with the earliest expected finish.
 *
 * @example
 * const placement = new SitePlacement(Math.random);
 * placement.update(instances);
 * const upstream = placement.place(demand, now);
 * // ... when the gateway reports the end:
 * placement.end(demand.turnId, report, later);
 */
export class SitePlacement implements TurnPlacement {
  readonly #random: () => number;
  readonly #options: SitePlacementOptions;
  readonly #services = new Map<string, ServiceState>();
  readonly #upstreams = new Map<string, UpstreamState>();
  readonly #connections: ConnectionTable;
  readonly #turns = new OpenTurns();
  #searchedAt = -Infinity;

  constructor(
    random: () => number,
    options: Partial<SitePlacementOptions> = {},
  ) {
    this.#random = random;
    this.#options = { ...DEFAULT_SITE_PLACEMENT_OPTIONS, ...options };
    this.#connections = new ConnectionTable(
      this.#options.idleConnectionMilliseconds,
    );
  }

  update(instances: readonly UpstreamInstance[]): void {
    const listed = new Set<string>();
    for (const service of this.#services.values()) service.upstreams = [];
    for (const instance of instances) {
      if (listed.has(instance.id)) continue;
      listed.add(instance.id);
      const known = this.#upstreams.get(instance.id);
      const upstream = known ??
        new UpstreamState(instance, this.#connections.takeColumn());
      upstream.instance = instance;
      this.#upstreams.set(instance.id, upstream);
      this.#findOrCreateService(instance.service).upstreams.push(upstream);
    }
    for (const [id, upstream] of this.#upstreams) {
      if (!listed.has(id)) this.#removeUpstream(upstream);
    }
    for (const [name, service] of this.#services) {
      if (service.upstreams.length === 0) this.#services.delete(name);
    }
  }

  findRoom(service: string, now: number): ServiceRoom {
    this.#releaseUnreported(now);
    const state = this.#services.get(service);
    let slots = 0;
    let open = 0;
    for (const upstream of state?.upstreams ?? []) {
      if (upstream.instance.leaving) continue;
      slots += upstream.slots;
      open += upstream.open;
    }
    const meanTurnMilliseconds = state?.turnMilliseconds ?? 0;
    const meanUpstreamMilliseconds = state?.upstreamMilliseconds ?? 0;
    if (meanUpstreamMilliseconds === 0) {
      return { slots, open, meanTurnMilliseconds };
    }
    return { slots, open, meanTurnMilliseconds, meanUpstreamMilliseconds };
  }

  place(demand: TurnDemand, now: number): string | undefined {
    this.#releaseUnreported(now);
    const earlier = this.#turns.find(demand.turnId);
    if (earlier !== undefined) this.#turns.remove(earlier, now);
    const service = this.#services.get(demand.service);
    if (service === undefined) return undefined;
    const connections = this.#connections.find(demand.gateway, now);
    const context = createContext(service, {
      demand,
      connections,
      costs: this.#options,
      now,
    });
    const upstream = this.#findCheapest(service.upstreams, context);
    if (upstream === undefined) return undefined;
    this.#turns.add({
      turnId: demand.turnId,
      upstream,
      connections,
      placedAt: now,
      deadlineAt: demand.deadlineAt,
      expectedMilliseconds: findFinish(upstream, context),
      processedTokens: countProcessedTokens(upstream, demand),
      hasFreeSlot: upstream.open < upstream.slots,
      previous: undefined,
      next: undefined,
    });
    return upstream.instance.id;
  }

  end(turnId: string, report: TurnReport | undefined, now: number): void {
    this.#releaseUnreported(now);
    const turn = this.#turns.find(turnId);
    if (turn !== undefined) {
      const isServedThere = report?.upstream === turn.upstream.instance.id;
      if (isServedThere) this.#releaseSurplus(turn, now);
      this.#turns.remove(turn, now);
    }
    if (report === undefined) return;
    for (const id of report.failedUpstreams) {
      this.#upstreams.get(id)?.failures.recordFailure(now);
    }
    if (report.upstream === "") {
      if (report.failedUpstreams.length > 0) return;
      turn?.upstream.failures.recordFailure(now);
      return;
    }
    const upstream = this.#upstreams.get(report.upstream);
    if (upstream === undefined) return;
    upstream.failures.recordServed(now);
    const service = this.#services.get(upstream.instance.service);
    service?.observe(upstream, report, now);
    if (turn?.upstream !== upstream) return;
    service?.observePlaced(turn, report, now);
  }

  #findCheapest(
    upstreams: readonly UpstreamState[],
    context: PlacementContext,
  ): UpstreamState | undefined {
    let cheapest: UpstreamState | undefined;
    let lowestCost = Infinity;
    for (const upstream of upstreams) {
      if (upstream.instance.leaving) continue;
      const cost = findCost(upstream, context) +
        JITTER_MILLISECONDS * this.#random();
      if (cost >= lowestCost) continue;
      cheapest = upstream;
      lowestCost = cost;
    }
    return cheapest;
  }

  #releaseSurplus(ended: OpenTurn, now: number): void {
    const service = this.#services.get(ended.upstream.instance.service);
    if (service === undefined) return;
    const { turnMilliseconds } = service;
    releaseSurplus(this.#turns, { ended, turnMilliseconds, now });
  }

  /** Releases the turns that nobody will report. */
  #releaseUnreported(now: number): void {
    if (now - this.#searchedAt < SEARCH_INTERVAL_MILLISECONDS) return;
    this.#searchedAt = now;
    this.#turns.removeExpired(now);
    for (const service of this.#services.values()) {
      releaseOverdue(this.#turns, { service, now });
    }
  }

  #findOrCreateService(name: string): ServiceState {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const service = new ServiceState();
    this.#services.set(name, service);
    return service;
  }

  #removeUpstream(upstream: UpstreamState): void {
    upstream.isListed = false;
    this.#upstreams.delete(upstream.instance.id);
    this.#connections.freeColumn(upstream.column);
  }
}

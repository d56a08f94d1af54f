/** Expected time of a turn at an upstream, by which turns are placed. */

import { findSuspicion } from "./failure_record.ts";
import type { GatewayConnections } from "./gateway_connections.ts";
import type { ServiceState } from "./service_state.ts";
import type { TurnDemand } from "./turn_demand.ts";
import type { ServiceRate } from "./upstream_rate.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Times that a placement adds to those of the engine. */
export interface PlacementCosts {
  /** Additional time at an upstream in another failure domain, ms. */
  readonly otherDomainMilliseconds: number;
  /** Time to open a connection, ms. */
  readonly connectMilliseconds: number;
  /** Time that a failed attempt costs, ms. */
  readonly failureMilliseconds: number;
  /**
   * Time by which a full upstream is slower than an idle one, ms. It spreads
   * turns over upstreams that have free slots.
   */
  readonly fullMilliseconds: number;
}

/** What is the same for all upstreams in one placement. */
export interface PlacementContext {
  readonly demand: TurnDemand;
  readonly connections: GatewayConnections;
  readonly costs: PlacementCosts;
  /** See {@linkcode ServiceState}; read once per placement. */
  readonly rate: ServiceRate;
  readonly promptTokenMilliseconds: number;
  readonly streamMilliseconds: number;
  readonly slotMilliseconds: number;
  readonly reportedSince: number;
  readonly now: number;
}

/** Collects what {@linkcode findCost} needs of a service. */
export function createContext(
  service: ServiceState,
  details: Pick<
    PlacementContext,
    "demand" | "connections" | "costs" | "now"
  >,
): PlacementContext {
  const { demand, connections, costs, now } = details;
  return {
    demand,
    connections,
    costs,
    now,
    rate: service.rate,
    promptTokenMilliseconds: service.promptTokenMilliseconds,
    streamMilliseconds: service.streamMilliseconds,
    slotMilliseconds: service.slotMilliseconds,
    reportedSince: service.findReportedSince(now),
  };
}

/** Returns the prompt tokens that an upstream would have to process. */
export function countProcessedTokens(
  upstream: UpstreamState,
  demand: TurnDemand,
): number {
  if (upstream.instance.id !== demand.historyUpstream) {
    return demand.promptTokens;
  }
  return Math.max(0, demand.promptTokens - demand.historyTokens);
}

/**
 * Returns the expected time from the placement of the turn to its end at an
 * upstream that works, ms.
 */
export function findFinish(
  upstream: UpstreamState,
  context: PlacementContext,
): number {
  const { demand } = context;
  const ratio = upstream.rate.findRatio(context.rate, context.now);
  const excess = Math.max(0, upstream.open + 1 - upstream.slots);
  const wait = excess / upstream.slots * context.slotMilliseconds;
  const prompt = countProcessedTokens(upstream, demand) *
    context.promptTokenMilliseconds;
  return ratio * (wait + prompt + context.streamMilliseconds);
}

/**
 * Returns the expected time at an upstream, ms, with the way to it and its
 * faults.
 */
export function findCost(
  upstream: UpstreamState,
  context: PlacementContext,
): number {
  const { demand, connections, costs, now } = context;
  const isNear = upstream.instance.failureDomain === demand.failureDomain;
  const load = Math.min(1, upstream.open / upstream.slots);
  return findFinish(upstream, context) +
    findHistoryBurden(upstream, context) +
    load * costs.fullMilliseconds +
    (isNear ? 0 : costs.otherDomainMilliseconds) +
    (connections.isWarm(upstream.column, now) ? 0 : costs.connectMilliseconds) +
    findFaultCost(upstream, context);
}

/**
 * Returns the time that processing the history again takes from other turns, ms. It
 * stalls those that run there, and its tokens displace as many from the cache, which a
 * later turn has to process again and so stalls others.
 */
function findHistoryBurden(
  upstream: UpstreamState,
  { demand, promptTokenMilliseconds }: PlacementContext,
): number {
  const { historyUpstream, historyTokens } = demand;
  const isCached = historyUpstream === "" ||
    upstream.instance.id === historyUpstream;
  if (isCached) return 0;
  const running = Math.min(upstream.open, upstream.slots);
  return historyTokens * promptTokenMilliseconds * (1 + 2 * running);
}

function findFaultCost(
  upstream: UpstreamState,
  context: PlacementContext,
): number {
  const { demand: { isStarted }, costs, now } = context;
  const { failures } = upstream;
  const failure = failures.findExpectedPart(isStarted, now) *
    costs.failureMilliseconds;
  const lateness = upstream.findLateness(context.reportedSince, now);
  if (lateness === 0) return failure;
  return failure +
    lateness * findSuspicion(failures.placedAt, { isStarted, now });
}

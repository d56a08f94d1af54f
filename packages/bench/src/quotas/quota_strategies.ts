/** Strategies that enforce quotas across many gateways, behind one interface. */

import { createMetrics, type TakePermits } from "@mallowlift/core";
import {
  fail,
  type Outcome,
  RESULT_CODES,
  type TakePermitsReply,
} from "@mallowlift/core";
import {
  DemandSparePolicy,
  findWorkspaceQuota,
  NoSparePolicy,
  PermitPool,
  type QuotaTerms,
  type SparePolicy,
  type WorkspaceQuota,
} from "@mallowlift/gateway";
import { Quotas } from "@mallowlift/sessions";
import { encodeFrame } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { Arrival, WorkloadWorkspace } from "./quota_workload.ts";

/** Quota terms of a site: a window of 5 s, and an overage of a tenth plus 20 requests. */
export const QUOTA_TERMS: QuotaTerms = {
  windowSeconds: 5,
  overage: 0.1,
  slack: 20,
};
/** Longest time that a request waits for a permit, ms. */
const MAX_WAIT_MILLISECONDS = 2_500;

/** Decision on a request: sent, over its quota, or refused without a leader. */
export type QuotaDecision = "sent" | "over" | "unavailable";

/** Network and log traffic that a strategy has caused. */
export interface QuotaCost {
  messages: number;
  bytes: number;
  /** Commands in the replicated log. */
  commands: number;
}

/** The simulated site as the strategies see it. */
export interface SimulatedSite {
  readonly gateways: number;
  /** Returns the current time, ms. */
  readonly clock: () => number;
  /** Returns the time of the site, which does not advance without a leader, ms. */
  readonly siteClock: () => number;
  /** Returns true if a gateway reaches the leader. */
  readonly canReachLeader: (gateway: number) => boolean;
  /** Resolves after a time, ms. */
  readonly wait: (milliseconds: number) => Promise<void>;
}

/** Decides which requests are sent. */
export interface QuotaStrategy {
  readonly name: string;
  readonly cost: QuotaCost;
  /** Resolves when the request is sent or refused. */
  decide(arrival: Arrival): Promise<QuotaDecision>;
}

/** Gives each gateway an equal, fixed share of every quota. */
export class FixedShares implements QuotaStrategy {
  readonly name = "fixed shares";
  readonly cost: QuotaCost = { messages: 0, bytes: 0, commands: 0 };
  readonly #site: SimulatedSite;
  readonly #byGateway = new Map<number, Quotas>();

  constructor(site: SimulatedSite) {
    this.#site = site;
  }

  /** Decides immediately, from the requests that this gateway has sent. */
  decide({ gateway, workspace }: Arrival): Promise<QuotaDecision> {
    const { bound } = describeQuota(workspace);
    const most = Math.floor(bound.most / this.#site.gateways);
    const quotas = this.#byGateway.get(gateway) ?? new Quotas();
    this.#byGateway.set(gateway, quotas);
    const { granted } = quotas.charge(
      { ...bound, most, needed: 1, spare: 0 },
      this.#site.clock(),
    );
    return Promise.resolve(granted > 0 ? "sent" : "over");
  }
}

/** Round trip from a gateway to the leader, ms: two hops and a commit. */
const ROUND_TRIP_MILLISECONDS = 6;

/** The leader grants permits for waiting requests and those that a policy requests ahead. */
export class LeaderPermits implements QuotaStrategy {
  readonly name: string;
  readonly cost: QuotaCost = { messages: 0, bytes: 0, commands: 0 };
  readonly #site: SimulatedSite;
  readonly #quotas = new Quotas();
  readonly #pools = new Map<number, PermitPool>();
  readonly #createPolicy: () => SparePolicy;

  private constructor(
    site: SimulatedSite,
    options: {
      readonly name: string;
      readonly createPolicy: () => SparePolicy;
    },
  ) {
    this.#site = site;
    this.name = options.name;
    this.#createPolicy = options.createPolicy;
  }

  /** Requests permits as requests arrive; waiting requests share one message. */
  static batched(site: SimulatedSite): LeaderPermits {
    const createPolicy = () => new NoSparePolicy();
    return new LeaderPermits(site, {
      name: "leader, in batches",
      createPolicy,
    });
  }

  /** Gateways also request permits ahead for the requests that they expect to send. */
  static leased(site: SimulatedSite): LeaderPermits {
    const createPolicy = () => new DemandSparePolicy();
    return new LeaderPermits(site, { name: "leased by demand", createPolicy });
  }

  /** Takes a permit from the pool of the gateway. */
  async decide({ gateway, workspace }: Arrival): Promise<QuotaDecision> {
    const taken = await this.#getPool(gateway).take(describeQuota(workspace), {
      now: this.#site.clock(),
      limitMilliseconds: MAX_WAIT_MILLISECONDS,
    });
    if (taken.ok) return "sent";
    return taken.val.code === RESULT_CODES.QUOTA_EXCEEDED
      ? "over"
      : "unavailable";
  }

  #getPool(gateway: number): PermitPool {
    const known = this.#pools.get(gateway);
    if (known !== undefined) return known;
    const call = (_name: string, request: TakePermits) =>
      this.#answer(gateway, request);
    const pool = new PermitPool({
      name: `g-${gateway}`,
      client: { call: call as never },
      policy: this.#createPolicy(),
      clock: this.#site.clock,
      sleep: this.#site.wait,
      random: () => 0,
      metrics: METRICS,
    });
    this.#pools.set(gateway, pool);
    return pool;
  }

  async #answer(
    gateway: number,
    request: TakePermits,
  ): Promise<Outcome<TakePermitsReply>> {
    const site = this.#site;
    const bytes = encodeFrame(request).length;
    this.cost.messages++;
    this.cost.bytes += bytes;
    if (!site.canReachLeader(gateway)) {
      await site.wait(LEADER_TIMEOUT_MILLISECONDS);
      return fail(RESULT_CODES.NO_LEADER, RESULT_CODES.NO_LEADER.meaning);
    }
    await site.wait(ROUND_TRIP_MILLISECONDS / 2);
    this.cost.commands++;
    const at = site.siteClock();
    const grants = request.charges.map((charge) =>
      this.#quotas.charge(charge, at)
    );
    this.cost.messages++;
    this.cost.bytes += encodeFrame({ grants }).length;
    await site.wait(ROUND_TRIP_MILLISECONDS / 2);
    return Ok({ grants });
  }
}

/** Timeout of a request to an unreachable leader, ms. */
const LEADER_TIMEOUT_MILLISECONDS = 400;
const METRICS = createMetrics();

function describeQuota(workspace: WorkloadWorkspace): WorkspaceQuota {
  const { name, ratePerSecond, burst } = workspace;
  const quota = findWorkspaceQuota(
    { name, ratePerSecond, burst, keyDigests: [] },
    { version: 1, terms: QUOTA_TERMS },
  );
  if (quota === undefined) throw new Error("The workspace has no quota");
  return quota;
}

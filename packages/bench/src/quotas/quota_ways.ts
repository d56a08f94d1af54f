/** Ways to hold quotas over many gateways, behind one interface. */

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

/** Terms of a site: a window of 5 s, a tenth and 20 requests over it. */
export const TERMS: QuotaTerms = { windowSeconds: 5, overage: 0.1, slack: 20 };
/** Longest wait of a request for a permit, ms. */
const LIMIT_MILLISECONDS = 2_500;

/** What became of a request. */
export type QuotaDecision = "sent" | "over" | "unavailable";

/** What a way has cost. */
export interface QuotaCost {
  messages: number;
  bytes: number;
  /** Commands of the replicated log. */
  commands: number;
}

/** What the ways know of the simulated site. */
export interface SimulatedSite {
  readonly gateways: number;
  /** Time now, ms. */
  readonly clock: () => number;
  /** Time of the site, which stands still while nobody leads, ms. */
  readonly siteClock: () => number;
  readonly canReach: (gateway: number) => boolean;
  /** Resolves after a time, ms. */
  readonly wait: (milliseconds: number) => Promise<void>;
}

/** Decides on requests. */
export interface QuotaWay {
  readonly name: string;
  readonly cost: QuotaCost;
  /** Resolves when the request is sent or refused. */
  decide(arrival: Arrival): Promise<QuotaDecision>;
}

/** Each gateway may send an equal part of every quota. */
export class FixedShares implements QuotaWay {
  readonly name = "fixed shares";
  readonly cost: QuotaCost = { messages: 0, bytes: 0, commands: 0 };
  readonly #site: SimulatedSite;
  readonly #byGateway = new Map<number, Quotas>();

  constructor(site: SimulatedSite) {
    this.#site = site;
  }

  /** Decides at once, by what this gateway has sent. */
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

/** Time from a gateway's question to the leader's answer, ms: two hops and a commit. */
const ROUND_TRIP_MILLISECONDS = 6;

/** The leader gives permits, for what waits and as far as a policy asks ahead. */
export class LeaderPermits implements QuotaWay {
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

  /** Every request is charged when it comes; those that wait go together. */
  static batched(site: SimulatedSite): LeaderPermits {
    const createPolicy = () => new NoSparePolicy();
    return new LeaderPermits(site, {
      name: "leader, in batches",
      createPolicy,
    });
  }

  /** Gateways ask ahead for what they expect to send. */
  static leased(site: SimulatedSite): LeaderPermits {
    const createPolicy = () => new DemandSparePolicy();
    return new LeaderPermits(site, { name: "leased by demand", createPolicy });
  }

  /** Takes a permit from the gateway's pool. */
  async decide({ gateway, workspace }: Arrival): Promise<QuotaDecision> {
    const taken = await this.#getPool(gateway).take(describeQuota(workspace), {
      now: this.#site.clock(),
      limitMilliseconds: LIMIT_MILLISECONDS,
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
    if (!site.canReach(gateway)) {
      await site.wait(LOST_MILLISECONDS);
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

/** Time after which a question without an answer is given up, ms. */
const LOST_MILLISECONDS = 400;
const METRICS = createMetrics();

function describeQuota(workspace: WorkloadWorkspace): WorkspaceQuota {
  const { name, ratePerSecond, burst } = workspace;
  const quota = findWorkspaceQuota(
    { name, ratePerSecond, burst, keyDigests: [] },
    { version: 1, terms: TERMS },
  );
  if (quota === undefined) throw new Error("Every workspace has a quota");
  return quota;
}

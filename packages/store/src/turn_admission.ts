/** Decides at the leader whether, when and where a turn may run. */

import { performance } from "node:perf_hooks";
import { URGENCIES } from "@mallowlift/consensus";
import {
  type BeginTurn,
  countRefusal,
  fail,
  type InstanceList,
  type Logger,
  type Metrics,
  type Outcome,
  type QuotaCharge,
  RESULT_CODES,
} from "@mallowlift/core";
import {
  type ChargedTurn,
  ServiceLine,
  SitePlacement,
  type TurnReport,
  WorkspacePrograms,
} from "@mallowlift/scheduling";
import type { SiteState } from "@mallowlift/sessions";
import { Ok } from "ts-results";
import type { LatestUpstreams } from "./latest_upstreams.ts";
import type { RequestContext } from "./request_context.ts";
import { findUrgency } from "./requested_command.ts";
import { createDemand } from "./turn_demand.ts";
import { TurnDispatch } from "./turn_dispatch.ts";

/** Dependencies of a {@linkcode TurnAdmission}. */
export interface TurnAdmissionOptions {
  readonly state: SiteState;
  readonly latestUpstreams: LatestUpstreams;
  /** Returns the newest instance list; undefined if there is none. */
  readonly findInstances: () => InstanceList | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Admits new programs as far as the quotas of their workspaces go, and lets the turns
 * of gateways that ask for it wait for a slot of their service.
 */
export class TurnAdmission {
  readonly #options: TurnAdmissionOptions;
  readonly #dispatch: TurnDispatch;
  #programs = new WorkspacePrograms();

  constructor(options: TurnAdmissionOptions) {
    this.#options = options;
    this.#dispatch = new TurnDispatch({
      findInstances: options.findInstances,
      createPlacement: () => new SitePlacement(Math.random),
      createLine: () => new ServiceLine(),
      logger: options.logger,
      metrics: options.metrics,
    });
  }

  /**
   * Refuses a turn, or lets it enter the line of its service while it is committed.
   *
   * @param at site time, ms
   * @returns the later result of the wait: the upstream, empty if not placed
   */
  enter(
    request: BeginTurn,
    caller: RequestContext,
    at: number,
  ): Outcome<Promise<Outcome<string>>> {
    const { state, latestUpstreams, metrics } = this.#options;
    const isStarted = findUrgency({ kind: "begin", ...request }, state) !==
      URGENCIES.START;
    const now = performance.now();
    const wait = isStarted ? 0 : this.#findProgramWait(request, { at, now });
    if (wait > 0) {
      const code = RESULT_CODES.QUOTA_EXCEEDED;
      countRefusal(metrics, "workspace_programs", code);
      return fail(code, code.meaning, wait);
    }
    if (request.demand === undefined) return Ok(Promise.resolve(Ok("")));
    const demand = createDemand(request, request.demand, {
      historyUpstream: state.turns.findUpstream(request.previousId) ||
        latestUpstreams.find(request.programId),
      isStarted,
      caller,
      now,
    });
    const { signal, deadlineAt } = caller;
    return this.#dispatch.enter(demand, { signal, until: deadlineAt });
  }

  /** Records that a turn was committed. */
  recordBegun(request: BeginTurn): void {
    if (request.quota === undefined || request.demand === undefined) return;
    this.#programs.recordTurn(describeTurn(request), performance.now());
  }

  /** Records requests that were charged to a workspace besides its turns. */
  recordCharged({ workspace }: QuotaCharge, requests: number): void {
    this.#programs.recordCharged(workspace, requests, performance.now());
  }

  /** Ends a turn, whether it ran or not. */
  end(turnId: string, report: TurnReport | undefined): void {
    this.#dispatch.end(turnId, report);
  }

  /** Forgets all turns and programs, since another store leads. */
  clear(): void {
    this.#dispatch.clear();
    this.#programs = new WorkspacePrograms();
  }

  /** Returns the time after which a new program fits its workspace's quota, ms. */
  #findProgramWait(
    request: BeginTurn,
    times: { readonly at: number; readonly now: number },
  ): number {
    const { quota, demand } = request;
    // Without a demand the sizes of short and long programs are not told apart.
    if (quota === undefined || demand === undefined) return 0;
    const { workspace, most, spanMilliseconds } = quota;
    const { quotas } = this.#options.state;
    const use = {
      most,
      spanMilliseconds,
      countUsed: (afterMilliseconds: number) =>
        quotas.countUsed(workspace, times.at + afterMilliseconds),
    };
    return this.#programs.findWait(describeTurn(request), use, times.now);
  }
}

function describeTurn(request: BeginTurn): ChargedTurn {
  return {
    workspace: request.quota?.workspace ?? "",
    programId: request.programId,
    priority: request.demand?.priority ?? 0,
  };
}

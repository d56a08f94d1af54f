/** Serves the turns, permits and documents of a site while this store leads. */

import { performance } from "node:perf_hooks";
import {
  type Applied,
  type LeadershipListener,
  type ReplicatedGroup,
} from "@mallowlift/consensus";
import {
  type BeginTurn,
  type BeginTurnReply,
  type DocumentPart,
  type EndTurn,
  type EndTurnReply,
  fail,
  findResultCode,
  type Logger,
  type Metrics,
  type Outcome,
  type ReadDocumentPart,
  RESULT_CODES,
  type TakePermits,
  type TakePermitsReply,
  WakeSignal,
} from "@mallowlift/core";
import { FairShares } from "@mallowlift/scheduling";
import type { SiteCommand, SiteResult, SiteState } from "@mallowlift/sessions";
import { Ok } from "ts-results";
import type { InstanceReader } from "./instance_reader.ts";
import { DocumentOwner } from "./document_owner.ts";
import { FollowOwner } from "./follow_owner.ts";
import { LatestUpstreams } from "./latest_upstreams.ts";
import { ProposalReport } from "./proposal_report.ts";
import type { ProposeCommand } from "./propose_command.ts";
import type { RequestContext } from "./request_context.ts";
import { type RequestArrival, RequestGate } from "./request_gate.ts";
import {
  createDeduplicationKey,
  findQueueOrder,
  findUrgency,
  type RequestedCommand,
} from "./requested_command.ts";
import { RetirementOwner } from "./retirement_owner.ts";
import { SharedCommands } from "./shared_commands.ts";
import { TurnAdmission } from "./turn_admission.ts";

/** Dependencies and settings of a {@linkcode SiteOwner}. */
export interface SiteOwnerOptions {
  readonly state: SiteState;
  readonly reader: InstanceReader;
  readonly changed: WakeSignal;
  /** Minimum number of members that must remain when a store retires. */
  readonly minStores: number;
  readonly getGroup: () => ReplicatedGroup | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Result for a caller that has given up and no longer reads it. */
const CANCELLED = fail(RESULT_CODES.CANCELLED, "The caller has given up");
/** Result of a command that would change nothing and is therefore not proposed. */
const ALREADY_DONE: SiteResult = { code: "OK" };

/** Proposes the commands of the site while this store leads. */
export class SiteOwner implements LeadershipListener {
  readonly documents: DocumentOwner;
  readonly retirements: RetirementOwner;
  readonly followers: FollowOwner;
  readonly #turns: TurnAdmission;
  readonly #options: SiteOwnerOptions;
  readonly #latestUpstreams = new LatestUpstreams();
  readonly #fairShares = new FairShares();
  readonly #gate: RequestGate;
  readonly #report: ProposalReport;
  /** Commands in flight, by their {@linkcode createDeduplicationKey}. */
  readonly #sharedCommands = new SharedCommands<Outcome<Applied>>();
  #isLeading = false;
  /** Site time and local time at the start of this leadership, ms. */
  #clockBase = { site: 0, local: 0 };

  constructor(options: SiteOwnerOptions) {
    this.#options = options;
    this.#report = new ProposalReport(options);
    this.#gate = new RequestGate({
      ...options,
      report: this.#report,
      isInFlight: (key) => this.#sharedCommands.has(key),
    });
    const propose: ProposeCommand = (command, signal) =>
      this.#propose(command, signal);
    this.documents = new DocumentOwner({ ...options, propose });
    this.retirements = new RetirementOwner({ ...options, propose });
    this.followers = new FollowOwner({
      ...options,
      isLeading: () => this.#isLeading,
    });
    this.#turns = new TurnAdmission({
      state: options.state,
      latestUpstreams: this.#latestUpstreams,
      findInstances: () => options.reader.list,
      logger: options.logger,
      metrics: options.metrics,
    });
    options.state.onDocument = () => options.changed.wake();
  }

  /** Starts the site clock and the polling of the instance list. */
  onLeading(): void {
    const { state, reader } = this.#options;
    this.#clockBase = { site: state.time, local: performance.now() };
    this.#isLeading = true;
    reader.start();
  }

  /** Stops polling the instance list and wakes waiting gateways. */
  onFollowing(): void {
    this.#isLeading = false;
    this.#turns.clear();
    this.#options.reader.stop();
    this.#options.changed.wake();
  }

  /** Returns a part of a document. */
  readDocumentPart(request: ReadDocumentPart): Promise<Outcome<DocumentPart>> {
    const answer = this.#isLeading
      ? Ok(this.documents.readPart(request))
      : this.#refuseNotLeading();
    return Promise.resolve(answer);
  }

  /** Begins a turn. */
  async begin(
    request: BeginTurn,
    caller: RequestContext,
  ): Promise<Outcome<BeginTurnReply>> {
    const { signal } = caller;
    // The turns that the gateway already has and what its placement needs only
    // affect the reply, so they are not replicated.
    const {
      missingFrom,
      knownTurns,
      demand: _demand,
      precedence: _precedence,
      ...reserve
    } = request;
    const at = this.#getSiteTime();
    if (!this.#isLeading) return this.#refuseNotLeading();
    const entered = this.#turns.enter(request, caller, at);
    if (entered.err) return entered;
    const command = { kind: "begin", at, ...reserve } as const;
    const result = await this.#propose(command, signal);
    if (result.err) {
      const { code } = result.val;
      this.#turns.end(request.turnId, undefined);
      if (code === RESULT_CODES.HISTORY_INCOMPLETE) {
        return this.#gate.refuseIncomplete(request);
      }
      this.#gate.logRefusedTurn(request, code);
      return result;
    }
    this.#turns.recordBegun(request);
    const placed = await entered.val;
    if (placed.err) return placed;
    const { turns } = this.#options.state;
    const missing = turns.listChain(missingFrom, new Set(knownTurns));
    const historyBytes = turns.measureChain(request.previousId);
    if (missing === undefined || historyBytes === undefined) {
      this.#turns.end(request.turnId, undefined);
      return this.#gate.refuseIncomplete(request);
    }
    return Ok({
      ...(placed.val === "" ? {} : { upstream: placed.val }),
      turns: missing,
      historyBytes,
      latestUpstream: this.#latestUpstreams.find(request.programId),
      ...(result.val.isCharged === true ? { isCharged: true } : {}),
    });
  }

  /** Ends a turn. */
  async end(
    request: EndTurn,
    signal: AbortSignal,
  ): Promise<Outcome<EndTurnReply>> {
    this.#latestUpstreams.record(request.programId, request.upstream);
    const { report, precedence: _precedence, ...settlement } = request;
    this.#turns.end(
      request.turnId,
      report && { upstream: request.upstream, ...report },
    );
    const at = this.#getSiteTime();
    const command = { kind: "end", at, ...settlement } as const;
    const result = await this.#propose(command, signal);
    if (result.err) {
      this.#gate.recordRefusedEnd(request, result.val.code);
      return result;
    }
    const permits = result.val.grants?.[0]?.granted;
    if (request.charge !== undefined) {
      this.#turns.recordCharged(request.charge, permits ?? 0);
    }
    return Ok(permits === undefined ? {} : { permits });
  }

  /** Grants permits for requests that begin no turn. */
  async takePermits(
    request: TakePermits,
    signal: AbortSignal,
  ): Promise<Outcome<TakePermitsReply>> {
    const at = this.#getSiteTime();
    const command = { kind: "charge", at, ...request } as const;
    const result = await this.#propose(command, signal);
    if (result.err) return result;
    const grants = result.val.grants ?? [];
    for (const [index, charge] of request.charges.entries()) {
      this.#turns.recordCharged(charge, grants[index]?.granted ?? 0);
    }
    return Ok({ grants });
  }

  /** Returns the refusal of a request when it arrives; undefined if it may wait. */
  refuseOnArrival(
    command: RequestedCommand,
    arrival: RequestArrival,
  ): ReturnType<typeof fail> | undefined {
    return this.#gate.refuseOnArrival(command, arrival, performance.now());
  }

  /** Returns the refusal of a request whose turn has come; undefined if it is started. */
  refuseInTurn(
    command: RequestedCommand,
    caller: RequestContext,
  ): ReturnType<typeof fail> | undefined {
    return this.#gate.refuseInTurn(command, caller, performance.now());
  }

  /** Returns the order in which a waiting request is started. */
  findQueueOrder(command: RequestedCommand): number {
    return findQueueOrder(command, this.#options.state);
  }

  async #propose(
    command: SiteCommand,
    signal: AbortSignal,
  ): Promise<Outcome<SiteResult>> {
    // A cancellation of this request that arrived in the same packet is handled
    // first.
    await Promise.resolve();
    if (signal.aborted) return CANCELLED;
    const group = this.#options.getGroup();
    if (group === undefined) return this.#refuseNotLeading();
    const { state } = this.#options;
    const isNeedless = state.isRedundant(command) ||
      this.#gate.isNeedlessSettlement(command);
    // A retry after a lost reply needs no further log entry.
    if (group.isLeading && isNeedless) return Ok(ALREADY_DONE);
    const startedAt = performance.now();
    const share = this.#checkFairShare(group, command, startedAt);
    if (share.err) return share;
    const applied = await this.#sharedCommands.submit(
      createDeduplicationKey(command),
      signal,
      {
        propose: () => group.propose(command, findUrgency(command, state)),
        onEnd: (outcome, end) => {
          if (isRefusedForLoad(outcome)) {
            return this.#gate.countRefusedForLoad();
          }
          const now = performance.now();
          const milliseconds = now - startedAt;
          this.#gate.recordCommit(milliseconds, now);
          const isUnchanged = outcome.ok &&
            (outcome.val.result as SiteResult).code !== "OK";
          this.#report.record(
            { kind: command.kind, milliseconds, isUnchanged, ...end },
            now,
          );
        },
      },
    );
    if (applied.err) return applied;
    const result = applied.val.result as SiteResult;
    if (result.code === "OK") return Ok(result);
    const code = findResultCode(result.code);
    return fail(code, code.meaning, result.retryAfterMilliseconds);
  }

  /** Refuses a workspace that exceeds its fair share while the leader is overloaded. */
  #checkFairShare(
    group: ReplicatedGroup,
    command: SiteCommand,
    now: number,
  ): Outcome<void> {
    const quota = command.kind === "begin" ? command.quota : undefined;
    if (quota === undefined) return Ok(undefined);
    const urgency = findUrgency(command, this.#options.state);
    const { part, retryAfterMilliseconds: retryMilliseconds } = group
      .findProposalLoad(urgency, now);
    const share = { workspace: quota.workspace, weight: quota.most };
    if (this.#fairShares.tryAdmit(share, part, now)) return Ok(undefined);
    return this.#gate.refuseForLoad(retryMilliseconds);
  }

  #getSiteTime(): number {
    const { site, local } = this.#clockBase;
    return site + Math.round(performance.now() - local);
  }

  #refuseNotLeading(): ReturnType<typeof fail> {
    return fail(RESULT_CODES.NOT_LEADER, "This store is not the leader");
  }
}

function isRefusedForLoad(outcome: Outcome<Applied>): boolean {
  return outcome.err && outcome.val.code === RESULT_CODES.LEADER_BUSY;
}

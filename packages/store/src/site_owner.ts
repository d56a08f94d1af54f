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
  countRefusal,
  type DocumentPart,
  type EndTurn,
  type EndTurnReply,
  fail,
  findResultCode,
  type Logger,
  LogRateLimiter,
  type Metrics,
  type Outcome,
  type ReadDocumentPart,
  RESULT_CODES,
  type ResultCode,
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
import {
  type ReadRequest,
  REQUEST_REFUSALS,
  RequestAdmission,
  type RequestRefusal,
} from "./request_admission.ts";
import type { RequestContext } from "./request_context.ts";
import {
  createDeduplicationKey,
  findPrecedence,
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

/**
 * Minimum time between two log lines on refused turns of one program, ms: a
 * program in a loop sends dozens of requests a second.
 */
const REFUSAL_LOG_INTERVAL_MILLISECONDS = 10_000;

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
  readonly #admission = new RequestAdmission();
  readonly #report: ProposalReport;
  /** Commands in flight, by their {@linkcode createDeduplicationKey}. */
  readonly #sharedCommands = new SharedCommands<Outcome<Applied>>();
  readonly #refusalLogLimit = new LogRateLimiter(
    REFUSAL_LOG_INTERVAL_MILLISECONDS,
  );
  #isLeading = false;
  /** Site time and local time at the start of this leadership, ms. */
  #clockBase = { site: 0, local: 0 };

  constructor(options: SiteOwnerOptions) {
    this.#options = options;
    this.#report = new ProposalReport(options);
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
      this.#turns.end(request.turnId, undefined);
      this.#logRefusedTurn(request, result.val.code);
      return result;
    }
    this.#turns.recordBegun(request);
    const placed = await entered.val;
    if (placed.err) return placed;
    const { turns } = this.#options.state;
    return Ok({
      ...(placed.val === "" ? {} : { upstream: placed.val }),
      turns: missingFrom === ""
        ? []
        : turns.listChain(missingFrom, new Set(knownTurns)),
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
    if (result.err) return result;
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

  /** Logs the reason of a final refusal of a turn, rate-limited per program. */
  #logRefusedTurn(request: BeginTurn, code: ResultCode): void {
    const { state, logger } = this.#options;
    const isFinal = code === RESULT_CODES.BUDGET_EXCEEDED ||
      code === RESULT_CODES.TURN_NOT_FOUND;
    if (!isFinal) return;
    const repeats = this.#refusalLogLimit.take(
      `${code.name} ${request.programId}`,
      performance.now(),
    );
    if (repeats === undefined) return;
    if (code === RESULT_CODES.BUDGET_EXCEEDED) {
      const use = state.budgets.describe(request.programId);
      return logger.info("Budget spent", {
        call: request.turnId,
        program: request.programId,
        budget: request.tokenBudget,
        spent: use.spent,
        reserved: use.reserved,
        open_turns: use.openTurns,
        repeats,
      });
    }
    logger.info("Previous turn not found", {
      call: request.turnId,
      program: request.programId,
      previous: request.previousId,
      kept_turns: state.turns.size,
      repeats,
    });
  }

  /**
   * Refuses a request whose caller cannot get the result in time, or that starts a
   * program while these are limited; returns undefined for all others.
   */
  refuse(
    command: RequestedCommand,
    caller: RequestContext,
  ): ReturnType<typeof fail> | undefined {
    const now = performance.now();
    const { ageMilliseconds, deadlineAt } = caller;
    const precedence = findPrecedence(command);
    this.#report.recordAge(
      { kind: command.kind, ...precedence },
      ageMilliseconds,
    );
    const group = this.#options.getGroup();
    const isShared = this.#sharedCommands.has(createDeduplicationKey(command));
    if (group === undefined || !group.isLeading || isShared) return undefined;
    if (this.#isNeedlessSettlement(command)) return undefined;
    if (this.#hasSpentBudget(command)) return this.#refuseSpent(command);
    const urgency = findUrgency(command, this.#options.state);
    const load = group.findProposalLoad(urgency, now);
    const { expectedMilliseconds } = load;
    const refusal = this.#admission.findRefusal({
      urgency,
      ageMilliseconds,
      expectedMilliseconds,
      deadlineAt,
      ...precedence,
      ...describeProgram(command),
    }, now);
    if (refusal === undefined) return undefined;
    if (refusal === REQUEST_REFUSALS.EXPIRED) return this.#refuseExpired();
    const retryMilliseconds = refusal === REQUEST_REFUSALS.LIMITED
      ? this.#admission.findProgramRetryAfter(precedence.priority)
      : load.retryAfterMilliseconds;
    return this.#refuseForLoad(retryMilliseconds, refusal);
  }

  /**
   * Refuses a begin that would wait in the queue for longer than its caller does;
   * returns undefined for all others. What ends a turn is done in any case.
   */
  refuseUnservable(
    command: RequestedCommand,
    times: {
      /** Time for which the caller still waits, ms. */
      readonly leftMilliseconds: number;
      /** Expected wait in the queue, ms. */
      readonly waitMilliseconds: number;
    },
  ): ReturnType<typeof fail> | undefined {
    const { leftMilliseconds, waitMilliseconds } = times;
    const isInTime = waitMilliseconds === 0 ||
      waitMilliseconds < leftMilliseconds;
    if (command.kind === "end" || isInTime) return undefined;
    // A command in flight is joined by its repetition without a wait.
    if (this.#sharedCommands.has(createDeduplicationKey(command))) {
      return undefined;
    }
    return this.#refuseForLoad(Math.round(waitMilliseconds));
  }

  /** Returns the order in which a waiting request is started. */
  findQueueOrder(command: RequestedCommand): number {
    return findQueueOrder(command, this.#options.state);
  }

  /**
   * True if a command settles a turn that has reserved nothing and cannot do so any
   * more: a gateway settles each turn whose begin it has given up, also if that was
   * never proposed.
   */
  #isNeedlessSettlement(command: SiteCommand | RequestedCommand): boolean {
    if (command.kind !== "end" || command.whole || command.tokens > 0) {
      return false;
    }
    const { programId, turnId } = command;
    const beginKey = createDeduplicationKey({
      kind: "begin",
      programId,
      turnId,
    });
    return !this.#sharedCommands.has(beginKey) &&
      !this.#options.state.budgets.hasReserved(programId, turnId);
  }

  /** True for a begin that each leader would refuse, whatever is committed before it. */
  #hasSpentBudget(
    command: RequestedCommand,
  ): command is RequestedCommand & { readonly kind: "begin" } {
    if (command.kind !== "begin" || command.programId === "") return false;
    const { budgets, turns } = this.#options.state;
    const { programId, turnId, previousId, tokenBudget } = command;
    const isKnown = previousId === "" || turns.has(previousId);
    return isKnown && budgets.isSpent(programId, tokenBudget) &&
      !budgets.hasReserved(programId, turnId);
  }

  /** Refuses a turn without a command: programs without a budget often go on for long. */
  #refuseSpent(request: BeginTurn): ReturnType<typeof fail> {
    const code = RESULT_CODES.BUDGET_EXCEEDED;
    countRefusal(this.#options.metrics, "owner", code);
    this.#logRefusedTurn(request, code);
    return fail(code, code.meaning);
  }

  #refuseExpired(): ReturnType<typeof fail> {
    countRefusal(this.#options.metrics, "owner", RESULT_CODES.TIMEOUT);
    this.#report.recordRefusal(REQUEST_REFUSALS.EXPIRED);
    return CANCELLED;
  }

  #refuseForLoad(
    retryMilliseconds: number,
    part: RequestRefusal = REQUEST_REFUSALS.LATE,
  ): ReturnType<typeof fail> {
    this.#countRefusedForLoad(part);
    return fail(
      RESULT_CODES.LEADER_BUSY,
      RESULT_CODES.LEADER_BUSY.meaning,
      retryMilliseconds,
    );
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
      this.#isNeedlessSettlement(command);
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
          if (isRefusedForLoad(outcome)) return this.#countRefusedForLoad();
          const now = performance.now();
          const milliseconds = now - startedAt;
          this.#admission.recordCommit(milliseconds, now);
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
    return this.#refuseForLoad(retryMilliseconds);
  }

  #countRefusedForLoad(part: RequestRefusal = REQUEST_REFUSALS.LATE): void {
    this.#report.recordRefusal(part);
    countRefusal(this.#options.metrics, part, RESULT_CODES.LEADER_BUSY);
  }

  #getSiteTime(): number {
    const { site, local } = this.#clockBase;
    return site + Math.round(performance.now() - local);
  }

  #refuseNotLeading(): ReturnType<typeof fail> {
    return fail(RESULT_CODES.NOT_LEADER, "This store is not the leader");
  }
}

/** Describes the program of a turn whose gateway tells its priority. */
function describeProgram(
  command: RequestedCommand,
): Pick<ReadRequest, "program"> {
  if (command.kind !== "begin" || command.precedence === undefined) return {};
  const { precedence, quota } = command;
  return {
    program: {
      priority: precedence.priority,
      workspace: quota?.workspace ?? "",
      weight: quota?.most ?? 1,
    },
  };
}

function isRefusedForLoad(outcome: Outcome<Applied>): boolean {
  return outcome.err && outcome.val.code === RESULT_CODES.LEADER_BUSY;
}

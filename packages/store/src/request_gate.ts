/** Decides at a leader which requests are refused, on arrival and when their turn comes. */

import { performance } from "node:perf_hooks";
import { type ReplicatedGroup, URGENCIES } from "@mallowlift/consensus";
import {
  type BeginTurn,
  countRefusal,
  type EndTurn,
  fail,
  type Logger,
  LogRateLimiter,
  type Metrics,
  RESULT_CODES,
  type ResultCode,
} from "@mallowlift/core";
import type { NewProgram } from "@mallowlift/scheduling";
import type { SiteCommand, SiteState } from "@mallowlift/sessions";
import type { ProposalReport } from "./proposal_report.ts";
import {
  REQUEST_REFUSALS,
  RequestAdmission,
  type RequestRefusal,
} from "./request_admission.ts";
import type { RequestContext } from "./request_context.ts";
import {
  createDeduplicationKey,
  findPrecedence,
  findUrgency,
  type RequestedCommand,
} from "./requested_command.ts";

/**
 * Minimum time between two log lines on refused turns of one program, ms: a
 * program in a loop sends dozens of requests a second.
 */
const REFUSAL_LOG_INTERVAL_MILLISECONDS = 10_000;

/** Log messages of refusals that the state of the site gives a reason for. */
const REFUSAL_MESSAGES: ReadonlyMap<ResultCode, string> = new Map([
  [RESULT_CODES.BUDGET_EXCEEDED, "Budget spent"],
  [RESULT_CODES.TURN_NOT_FOUND, "Previous turn not found"],
  [RESULT_CODES.HISTORY_INCOMPLETE, "History incomplete"],
]);

/** Result for a caller that has given up and no longer reads it. */
const CANCELLED = fail(RESULT_CODES.CANCELLED, "The caller has given up");

/** Dependencies of a {@linkcode RequestGate}. */
export interface RequestGateOptions {
  readonly state: SiteState;
  readonly getGroup: () => ReplicatedGroup | undefined;
  /** True if a command with this deduplication key is in flight. */
  readonly isInFlight: (key: string) => boolean;
  readonly report: ProposalReport;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** What is known of a request when it arrives. */
export interface RequestArrival {
  /** Time for which the caller still waits, ms. */
  readonly leftMilliseconds: number;
  /** Expected wait in the queue, ms. */
  readonly waitMilliseconds: number;
}

type Refusal = ReturnType<typeof fail>;

/**
 * Refuses requests that cannot be served. All refusals that are certain on arrival are
 * made then: new programs wait behind started ones, and would learn of them last.
 */
export class RequestGate {
  readonly #options: RequestGateOptions;
  readonly #admission = new RequestAdmission();
  readonly #refusalLogLimit = new LogRateLimiter(
    REFUSAL_LOG_INTERVAL_MILLISECONDS,
  );

  constructor(options: RequestGateOptions) {
    this.#options = options;
  }

  /**
   * Refuses a turn whose budget is spent, a begin that would wait for longer than its
   * caller does, and a program that is started while these are limited; returns
   * undefined for all others. What ends a turn is done in any case.
   */
  refuseOnArrival(
    command: RequestedCommand,
    arrival: RequestArrival,
    now: number,
  ): Refusal | undefined {
    if (command.kind === "end" || this.#isUndecided(command)) return undefined;
    if (this.#hasSpentBudget(command)) return this.#refuseSpent(command);
    const { leftMilliseconds, waitMilliseconds } = arrival;
    const isUnservable = waitMilliseconds > 0 &&
      waitMilliseconds >= leftMilliseconds;
    if (isUnservable) return this.refuseForLoad(Math.round(waitMilliseconds));
    const urgency = findUrgency(command, this.#options.state);
    if (urgency !== URGENCIES.START) return undefined;
    const program = describeProgram(command);
    if (this.#admission.tryStart(program, now)) return undefined;
    return this.refuseForLoad(
      this.#admission.findProgramRetryAfter(program.priority),
      REQUEST_REFUSALS.LIMITED,
    );
  }

  /** Refuses a request whose caller cannot get the result in time. */
  refuseInTurn(
    command: RequestedCommand,
    caller: RequestContext,
    now: number,
  ): Refusal | undefined {
    const { ageMilliseconds, deadlineAt } = caller;
    const precedence = findPrecedence(command);
    const { report, state } = this.#options;
    report.recordAge({ kind: command.kind, ...precedence }, ageMilliseconds);
    const group = this.#options.getGroup();
    if (group === undefined || this.#isUndecided(command)) return undefined;
    if (this.isNeedlessSettlement(command)) return undefined;
    const urgency = findUrgency(command, state);
    const load = group.findProposalLoad(urgency, now);
    const { expectedMilliseconds } = load;
    const refusal = this.#admission.findRefusal({
      urgency,
      ageMilliseconds,
      expectedMilliseconds,
      deadlineAt,
      ...precedence,
    }, now);
    if (refusal === undefined) return undefined;
    if (refusal === REQUEST_REFUSALS.EXPIRED) return this.#refuseExpired();
    return this.refuseForLoad(load.retryAfterMilliseconds, refusal);
  }

  /** Records how long a command took to commit, ms. */
  recordCommit(milliseconds: number, now: number): void {
    this.#admission.recordCommit(milliseconds, now);
  }

  /**
   * True if a command settles a turn that has reserved nothing and cannot do so any
   * more: a gateway settles each turn whose begin it has given up, also if that was
   * never proposed.
   */
  isNeedlessSettlement(command: SiteCommand | RequestedCommand): boolean {
    if (command.kind !== "end" || command.whole || command.tokens > 0) {
      return false;
    }
    const { programId, turnId } = command;
    const beginKey = createDeduplicationKey({
      kind: "begin",
      programId,
      turnId,
    });
    return !this.#options.isInFlight(beginKey) &&
      !this.#options.state.budgets.hasReserved(programId, turnId);
  }

  /** Refuses a request since the leader is overloaded. */
  refuseForLoad(
    retryMilliseconds: number,
    part: RequestRefusal = REQUEST_REFUSALS.LATE,
  ): Refusal {
    this.countRefusedForLoad(part);
    return fail(
      RESULT_CODES.LEADER_BUSY,
      RESULT_CODES.LEADER_BUSY.meaning,
      retryMilliseconds,
    );
  }

  /** Counts a request that was refused since the leader is overloaded. */
  countRefusedForLoad(part: RequestRefusal = REQUEST_REFUSALS.LATE): void {
    this.#options.report.recordRefusal(part);
    countRefusal(this.#options.metrics, part, RESULT_CODES.LEADER_BUSY);
  }

  /** Refuses a turn of whose history a part is missing. */
  refuseIncomplete(request: BeginTurn): Refusal {
    const code = RESULT_CODES.HISTORY_INCOMPLETE;
    countRefusal(this.#options.metrics, "owner", code);
    this.logRefusedTurn(request, code);
    return fail(code, code.meaning);
  }

  /** Logs and counts an answered turn that is not kept, as its history is gone. */
  recordRefusedEnd(request: EndTurn, code: ResultCode): void {
    if (code !== RESULT_CODES.HISTORY_INCOMPLETE) return;
    const { state, logger, metrics } = this.#options;
    countRefusal(metrics, "owner", code);
    const repeats = this.#refusalLogLimit.take(
      `end ${code.name} ${request.programId}`,
      performance.now(),
    );
    if (repeats === undefined) return;
    logger.warn("Turn outlasted its history", {
      call: request.turnId,
      program: request.programId,
      previous: request.previousId,
      kept_turns: state.turns.size,
      site_time_ms: state.time,
      repeats,
    });
  }

  /** Logs the reason of a refusal by the state, rate-limited per program. */
  logRefusedTurn(request: BeginTurn, code: ResultCode): void {
    const { state, logger } = this.#options;
    const message = REFUSAL_MESSAGES.get(code);
    if (message === undefined) return;
    const repeats = this.#refusalLogLimit.take(
      `${code.name} ${request.programId}`,
      performance.now(),
    );
    if (repeats === undefined) return;
    if (code === RESULT_CODES.BUDGET_EXCEEDED) {
      const use = state.budgets.describe(request.programId);
      return logger.info(message, {
        call: request.turnId,
        program: request.programId,
        budget: request.tokenBudget,
        spent: use.spent,
        reserved: use.reserved,
        open_turns: use.openTurns,
        repeats,
      });
    }
    logger.info(message, {
      call: request.turnId,
      program: request.programId,
      previous: request.previousId,
      kept_turns: state.turns.size,
      site_time_ms: state.time,
      repeats,
    });
  }

  /** True if this store does not lead, or if the command is in flight and is joined. */
  #isUndecided(command: RequestedCommand): boolean {
    const { getGroup, isInFlight } = this.#options;
    return getGroup()?.isLeading !== true ||
      isInFlight(createDeduplicationKey(command));
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
  #refuseSpent(request: BeginTurn): Refusal {
    const code = RESULT_CODES.BUDGET_EXCEEDED;
    countRefusal(this.#options.metrics, "owner", code);
    this.logRefusedTurn(request, code);
    return fail(code, code.meaning);
  }

  #refuseExpired(): Refusal {
    countRefusal(this.#options.metrics, "owner", RESULT_CODES.TIMEOUT);
    this.#options.report.recordRefusal(REQUEST_REFUSALS.EXPIRED);
    return CANCELLED;
  }
}

/** Describes the program that a request starts. */
function describeProgram(command: RequestedCommand): NewProgram {
  const { priority } = findPrecedence(command);
  const quota = command.kind === "begin" ? command.quota : undefined;
  return {
    priority,
    workspace: quota?.workspace ?? "",
    weight: quota?.most ?? 1,
  };
}

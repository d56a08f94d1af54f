/**
 * Accepts calls by committing them to the log. The first attempt of an
 * idempotent call is sent while the commit is still in progress.
 */

import { randomUUID } from "node:crypto";
import {
  fail,
  isIdempotent,
  type Outcome,
  RESULT_CODES,
  type RunCallEvent,
  type RunCallRequest,
} from "@mallowlift/core";
import {
  type AttemptTarget,
  type CallRecord,
  checkNewCall,
  type ProgramCommand,
  type ProgramRecord,
  type ProgramState,
} from "@mallowlift/programs";
import { Ok } from "ts-results";
import type { CallPlacement } from "../sidecars/placement.ts";
import { createEvent, EarlyAttempt } from "./dispatch.ts";

/** Dependencies of a call acceptor. */
export interface CallAcceptorOptions {
  readonly group: number;
  readonly state: ProgramState;
  readonly placement: CallPlacement;
  /** Maximum number of open calls of one program. */
  readonly callsPerProgram: number;
  /**
   * Returns the term in which this replica leads, or undefined if it does not
   * lead.
   */
  getTerm(): number | undefined;
  propose(command: ProgramCommand): Promise<Outcome<CallRecord>>;
  /** Confirms with a quorum that this replica still leads. */
  confirmLeadership(): Promise<Outcome<void>>;
}

/**
 * An accepted call, and its first attempt if that was sent before the commit.
 */
export interface AcceptedCall {
  readonly program: ProgramRecord;
  readonly call: CallRecord;
  readonly early: EarlyAttempt | undefined;
}

/** Accepts calls for the programs of one group. */
export class CallAcceptor {
  readonly #options: CallAcceptorOptions;
  /** Number of acceptances whose commit is in progress, by program id. */
  readonly #pendingAcceptances = new Map<string, number>();

  constructor(options: CallAcceptorOptions) {
    this.#options = options;
  }

  /** Accepts a call, or returns the known call with the same request id. */
  async accept(
    request: RunCallRequest,
    onEvent: (event: RunCallEvent) => void,
  ): Promise<Outcome<AcceptedCall>> {
    const { state } = this.#options;
    const acceptance = randomUUID();
    const early = this.#startEarlyAttempt(request, acceptance);
    if (early !== undefined) onEvent(createEvent(early.plan, "dispatched"));
    const accepted = await this.#commit(request, {
      acceptance,
      earlyTarget: early?.plan.target,
    });
    const isDispatched = accepted.ok && accepted.val.attempt > 0 &&
      accepted.val.acceptance === acceptance;
    if (!isDispatched) early?.cancel();
    if (accepted.err) return accepted;
    const program = state.find(request.programId);
    if (program === undefined) {
      return fail(RESULT_CODES.INTERNAL, "The program no longer exists");
    }
    return Ok({
      program,
      call: accepted.val,
      early: isDispatched ? early : undefined,
    });
  }

  /**
   * Starts the first attempt of an idempotent call before its commit, if no
   * other call of the program is open.
   */
  #startEarlyAttempt(
    request: RunCallRequest,
    acceptance: string,
  ): EarlyAttempt | undefined {
    const { state, placement, group } = this.#options;
    const { programId, requestId, body, told } = request;
    const term = this.#options.getTerm();
    const program = state.findOwned(programId, request.outfit);
    if (program === undefined || term === undefined) return undefined;
    if (!isIdempotent(body) || !this.#canStartEarly(program, request)) {
      return undefined;
    }
    const target = placement.place(program, body, []);
    if (target.err) return undefined;
    return new EarlyAttempt({
      group,
      term,
      placement,
      program,
      requestId,
      body,
      attempt: 1,
      acceptance,
      target: target.val,
      told,
    });
  }

  #canStartEarly(program: ProgramRecord, request: RunCallRequest): boolean {
    const { programId } = program;
    if (program.openCalls.length > 0) return false;
    if (this.#pendingAcceptances.has(programId)) return false;
    if (program.calls.has(request.requestId)) return false;
    const { state, callsPerProgram } = this.#options;
    const call = {
      now: Date.now(),
      openLimit: callsPerProgram,
      body: request.body,
    };
    return checkNewCall(program, call, (id) => state.find(id)).ok;
  }

  async #commit(
    request: RunCallRequest,
    details: {
      readonly acceptance: string;
      readonly earlyTarget: AttemptTarget | undefined;
    },
  ): Promise<Outcome<CallRecord>> {
    const { acceptance, earlyTarget } = details;
    const { programId, outfit, requestId, body } = request;
    const found = earlyTarget === undefined
      ? await this.#findFirstTarget(request)
      : Ok(earlyTarget);
    if (found.err) return found;
    const target = found.val;
    this.#adjustPendingAcceptances(programId, 1);
    const accepted = await this.#options.propose({
      type: "accept_call",
      now: Date.now(),
      programId,
      outfit,
      requestId,
      acceptance,
      body,
      openLimit: this.#options.callsPerProgram,
      ...target === undefined ? {} : { target },
    });
    this.#adjustPendingAcceptances(programId, -1);
    return accepted;
  }

  /**
   * Chooses the target of a new call before its acceptance, so that one commit
   * both accepts and dispatches it. A call that no upstream can serve is
   * rejected without a log entry. Returns undefined if the call is not new or
   * must wait behind another call of the program.
   */
  async #findFirstTarget(
    request: RunCallRequest,
  ): Promise<Outcome<AttemptTarget | undefined>> {
    const { state, placement } = this.#options;
    const program = state.findOwned(request.programId, request.outfit);
    if (program === undefined || program.calls.has(request.requestId)) {
      return Ok(undefined);
    }
    const target = placement.place(program, request.body, []);
    if (target.ok) {
      return Ok(program.openCalls.length === 0 ? target.val : undefined);
    }
    const confirmed = await this.#options.confirmLeadership();
    return confirmed.err ? confirmed : target;
  }

  #adjustPendingAcceptances(programId: string, change: number): void {
    const count = (this.#pendingAcceptances.get(programId) ?? 0) + change;
    if (count === 0) this.#pendingAcceptances.delete(programId);
    else this.#pendingAcceptances.set(programId, count);
  }
}

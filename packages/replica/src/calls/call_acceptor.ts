/** Accepts calls into the log, and sends the idempotent ones ahead of it. */

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
import { describeEvent, EarlyAttempt } from "./dispatch.ts";

/** What an acceptor uses of the group it accepts for. */
export interface CallAcceptorOptions {
  readonly group: number;
  readonly state: ProgramState;
  readonly placement: CallPlacement;
  /** Most open calls of one program. */
  readonly callsPerProgram: number;
  /** Returns the term of the leadership; undefined if there is none. */
  getTerm(): number | undefined;
  propose(command: ProgramCommand): Promise<Outcome<CallRecord>>;
  /** Confirms the leadership with a quorum. */
  confirm(): Promise<Outcome<void>>;
}

/** An accepted call, with the attempt that was sent ahead, if one was. */
export interface AcceptedCall {
  readonly program: ProgramRecord;
  readonly call: CallRecord;
  readonly early: EarlyAttempt | undefined;
}

/** Accepts the calls of one group. */
export class CallAcceptor {
  readonly #options: CallAcceptorOptions;
  /** Acceptances that are being committed, by program. */
  readonly #accepting = new Map<string, number>();

  constructor(options: CallAcceptorOptions) {
    this.#options = options;
  }

  /** Accepts a call, or finds the one that its request id names. */
  async accept(
    request: RunCallRequest,
    tell: (event: RunCallEvent) => void,
  ): Promise<Outcome<AcceptedCall>> {
    const { state } = this.#options;
    const early = this.#startEarly(request);
    if (early !== undefined) tell(describeEvent(early.plan, "dispatched"));
    const accepted = await this.#commit(request, early?.plan.target);
    if (accepted.err || accepted.val.attempt === 0) early?.cancel();
    if (accepted.err) return accepted;
    const program = state.find(request.programId);
    if (program === undefined) {
      return fail(RESULT_CODES.INTERNAL, "The program is gone");
    }
    return Ok({ program, call: accepted.val, early });
  }

  /** Sends an idempotent call that nothing stands before, without waiting. */
  #startEarly(request: RunCallRequest): EarlyAttempt | undefined {
    const { state, placement, group } = this.#options;
    const { programId, requestId, body, told } = request;
    const term = this.#options.getTerm();
    const program = state.findOwned(programId, request.outfit);
    if (program === undefined || term === undefined) return undefined;
    if (!isIdempotent(body) || !this.#mayStart(program, request)) {
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
      target: target.val,
      told,
    });
  }

  #mayStart(program: ProgramRecord, request: RunCallRequest): boolean {
    const { programId } = program;
    if (program.openCalls.length > 0) return false;
    if (this.#accepting.has(programId)) return false;
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
    earlyTarget: AttemptTarget | undefined,
  ): Promise<Outcome<CallRecord>> {
    const { programId, outfit, requestId, body } = request;
    const found = earlyTarget === undefined
      ? await this.#findFirstTarget(request)
      : Ok(earlyTarget);
    if (found.err) return found;
    const target = found.val;
    this.#countAccepting(programId, 1);
    const accepted = await this.#options.propose({
      type: "accept_call",
      now: Date.now(),
      programId,
      outfit,
      requestId,
      body,
      openLimit: this.#options.callsPerProgram,
      ...target === undefined ? {} : { target },
    });
    this.#countAccepting(programId, -1);
    return accepted;
  }

  /**
   * Places a new call before it is accepted, so that one commit does for
   * both; a call that no upstream serves is refused without any trace.
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
    const confirmed = await this.#options.confirm();
    return confirmed.err ? confirmed : target;
  }

  #countAccepting(programId: string, change: number): void {
    const count = (this.#accepting.get(programId) ?? 0) + change;
    if (count === 0) this.#accepting.delete(programId);
    else this.#accepting.set(programId, count);
  }
}

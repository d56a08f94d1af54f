/** Runs one call of a program from its acceptance to its recorded end; one task. */

import {
  ABORTED,
  type Answer,
  type CallBody,
  type CodedError,
  countRefusal,
  countRetry,
  fail,
  isIdempotent,
  type Logger,
  type Metrics,
  NO_USAGE,
  type Outcome,
  RESULT_CODES,
  type RunCallReply,
  WakeSignal,
} from "@mallowlift/core";
import {
  CALL_STATES,
  type CallRecord,
  type ProgramCommand,
  type ProgramRecord,
} from "@mallowlift/programs";
import { Ok } from "ts-results";
import type { CallPlacement } from "../sidecars/placement.ts";
import type { AttemptEnd } from "./attempt_end.ts";
import { CallListeners } from "./call_listeners.ts";
import {
  type AttemptPlan,
  describeAttempt,
  describeEvent,
  dispatchAttempt,
  type EarlyAttempt,
} from "./dispatch.ts";
import { cancelAttempt, recoverAttempt } from "./run_attempt.ts";

const NO_ANSWER: Answer = { text: "", finish: "", usage: NO_USAGE };

/** What a runner uses of the group that owns the call. */
export interface CallOwner {
  readonly group: number;
  readonly term: number;
  readonly maxAttempts: number;
  readonly placement: CallPlacement;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Aborts when this replica no longer leads the group. */
  readonly signal: AbortSignal;
  propose(command: ProgramCommand): Promise<Outcome<CallRecord>>;
}

/** The call that a runner starts with. */
export interface CallStart {
  readonly program: ProgramRecord;
  readonly call: CallRecord;
  /** Text told to the caller under an earlier owner. */
  readonly told: string;
  /** First attempt, if it was sent while the call was being accepted. */
  readonly early?: EarlyAttempt;
}

/** Runs one call. */
export class CallRunner {
  readonly listeners = new CallListeners();
  readonly #owner: CallOwner;
  readonly #program: ProgramRecord;
  readonly #call: CallRecord;
  readonly #body: CallBody;
  readonly #turn = new WakeSignal();
  readonly #cancelled = new AbortController();
  #told: string;
  #early: EarlyAttempt | undefined;
  #avoid: string[] = [];
  /** True once an attempt may have run, so that no refusal may deny it. */
  #mayHaveRun = false;

  constructor(owner: CallOwner, start: CallStart) {
    if (start.call.body === undefined) throw new Error("The call has ended");
    this.#owner = owner;
    this.#program = start.program;
    this.#call = start.call;
    this.#body = start.call.body;
    this.#told = start.told;
    this.#early = start.early;
    const leave = () => this.#cancelled.abort(ABORTED);
    owner.signal.addEventListener("abort", leave, { once: true });
  }

  /** Looks again whether it is this call's turn. */
  wake(): void {
    this.#turn.wake();
  }

  /** Stops the call because its program has ended; a service call goes on. */
  cancel(): void {
    if (this.#body.kind === "model") this.#cancelled.abort(ABORTED);
    this.#turn.wake();
  }

  /**
   * Runs the call to its end.
   *
   * @param dispatch "send" if this owner has just committed the first
   * attempt, "recover" if an earlier owner may have sent it
   */
  async run(dispatch: "send" | "recover"): Promise<void> {
    const startedAt = Date.now();
    const outcome = await this.#runAttempts(dispatch).catch((thrown) => {
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      this.#owner.logger.error("Call failed inside", { message });
      return fail(RESULT_CODES.INTERNAL, "The call failed inside the owner");
    });
    const seconds = (Date.now() - startedAt) / 1_000;
    this.#owner.metrics.callSeconds.observe({ kind: this.#body.kind }, seconds);
    if (outcome.err) {
      countRefusal(this.#owner.metrics, "owner", outcome.val.code);
    }
    this.listeners.finish(outcome);
  }

  async #runAttempts(
    dispatch: "send" | "recover",
  ): Promise<Outcome<RunCallReply>> {
    let end: AttemptEnd | undefined;
    let previousNeverRan = true;
    if (this.#call.state === CALL_STATES.DISPATCHED) {
      // Nobody here knows how the attempts before the recorded one ended.
      this.#mayHaveRun = this.#call.attempt > 1 && isIdempotent(this.#body);
      end = await this.#finishAttempt(dispatch);
    }
    for (;;) {
      if (end === undefined) {
        const started = await this.#startAttempt(previousNeverRan);
        if (started.err) return await this.#giveUp(started.val);
        end = await this.#finishAttempt("send");
      }
      if (this.#owner.signal.aborted) return this.#refuseAsFollower();
      if (end.kind === "answered") {
        return await this.#record(RESULT_CODES.OK.name, end.answer);
      }
      if (this.#cancelled.signal.aborted) return await this.#recordCancelled();
      if (end.kind === "lost") this.#mayHaveRun = true;
      const mayRetry = end.kind === "never_ran" || isIdempotent(this.#body);
      if (!mayRetry) {
        return await this.#record(RESULT_CODES.OUTCOME_UNKNOWN.name, NO_ANSWER);
      }
      if (this.#call.attempt >= this.#owner.maxAttempts) {
        return await this.#exhaust(end);
      }
      countRetry(this.#owner.metrics, "owner", end.error.code);
      previousNeverRan = end.kind === "never_ran";
      await this.#prepareRetry();
      end = undefined;
    }
  }

  /** Waits for the call's turn, places it and commits the intent. */
  async #startAttempt(previousNeverRan: boolean): Promise<Outcome<CallRecord>> {
    for (;;) {
      if (this.#owner.signal.aborted) return this.#refuseAsFollower();
      if (this.#program.ended !== undefined) {
        return fail(RESULT_CODES.PROGRAM_ENDED, "The program has ended");
      }
      const left = this.#program.deadlineAt - Date.now();
      if (left <= 0) {
        return fail(RESULT_CODES.DEADLINE_PASSED, "The deadline has passed");
      }
      if (this.#program.openCalls[0] === this.#call.requestId) break;
      await this.#turn.wait(Math.min(left, 1_000));
    }
    const placed = this.#owner.placement.place(
      this.#program,
      this.#body,
      this.#avoid,
    );
    if (placed.err) return placed;
    return await this.#owner.propose({
      type: "dispatch_call",
      now: Date.now(),
      programId: this.#program.programId,
      requestId: this.#call.requestId,
      attempt: this.#call.attempt + 1,
      target: placed.val,
      previousNeverRan,
    });
  }

  async #finishAttempt(dispatch: "send" | "recover"): Promise<AttemptEnd> {
    const plan = this.#planAttempt();
    this.listeners.tell(describeEvent(plan, "dispatched"));
    const end = await this.#waitForEnd(plan, dispatch);
    const { sidecarId } = plan.target;
    if (end.kind === "answered") {
      const { usage } = end.answer;
      this.#owner.placement.noteAnswered(this.#program, sidecarId, usage);
      return end;
    }
    this.#avoid.push(sidecarId);
    if (this.#cancelled.signal.aborted && !this.#owner.signal.aborted) {
      cancelAttempt(describeAttempt(plan, Date.now()));
    }
    return end;
  }

  async #waitForEnd(
    plan: AttemptPlan,
    dispatch: "send" | "recover",
  ): Promise<AttemptEnd> {
    const early = this.#early;
    this.#early = undefined;
    if (dispatch === "recover") {
      return await recoverAttempt(describeAttempt(plan, Date.now()));
    }
    if (early === undefined) return await dispatchAttempt(plan);
    const cancel = () => early.cancel();
    plan.signal.addEventListener("abort", cancel, { once: true });
    if (plan.signal.aborted) cancel();
    const end = await early.end;
    plan.signal.removeEventListener("abort", cancel);
    return end;
  }

  async #prepareRetry(): Promise<void> {
    const event = describeEvent(this.#planAttempt(), "lost");
    const told = await this.listeners.collectTold(event);
    if (told.length > this.#told.length) this.#told = told;
  }

  async #record(code: string, answer: Answer): Promise<Outcome<RunCallReply>> {
    const recorded = await this.#owner.propose({
      type: "end_call",
      now: Date.now(),
      programId: this.#program.programId,
      requestId: this.#call.requestId,
      attempt: this.#call.attempt,
      end: { code, answer },
    });
    if (recorded.err) return recorded;
    return describeRecorded(this.#program, recorded.val);
  }

  async #recordCancelled(): Promise<Outcome<RunCallReply>> {
    return await this.#record(RESULT_CODES.CANCELLED.name, NO_ANSWER);
  }

  async #exhaust(end: AttemptEnd): Promise<Outcome<RunCallReply>> {
    if (end.kind === "answered") {
      return await this.#record(RESULT_CODES.OK.name, end.answer);
    }
    const last = end.error.code.name;
    return await this.#giveUp({
      code: RESULT_CODES.ATTEMPTS_EXHAUSTED,
      message: `The last of ${this.#call.attempt} attempts ended with ${last}`,
      retryAfterMilliseconds: end.error.retryAfterMilliseconds ?? 1_000,
    });
  }

  /** Takes the call back, so that the same request id may come again. */
  async #giveUp(error: CodedError): Promise<Outcome<RunCallReply>> {
    if (this.#owner.signal.aborted) return this.#refuseAsFollower();
    const withdrawn = await this.#owner.propose({
      type: "withdraw_call",
      now: Date.now(),
      programId: this.#program.programId,
      requestId: this.#call.requestId,
      attempt: this.#call.attempt,
    });
    if (withdrawn.err) return withdrawn;
    const deniesRun = error.code.notRun && this.#mayHaveRun;
    const code = deniesRun ? RESULT_CODES.RETRIES_EXHAUSTED : error.code;
    return fail(code, error.message, error.retryAfterMilliseconds);
  }

  #planAttempt(): AttemptPlan {
    const { target, requestId, attempt } = this.#call;
    if (target === undefined) throw new Error("The call was not dispatched");
    const { group, term, placement } = this.#owner;
    return {
      group,
      term,
      placement,
      program: this.#program,
      requestId,
      body: this.#body,
      attempt,
      target,
      told: this.#told,
      signal: this.#cancelled.signal,
    };
  }

  #refuseAsFollower() {
    return fail(
      RESULT_CODES.LEADERSHIP_LOST,
      "Another replica owns the program now",
    );
  }
}

/** Returns the recorded end of a call. */
export function describeRecorded(
  program: ProgramRecord,
  call: CallRecord,
): Outcome<RunCallReply> {
  const turn = program.history[call.turn - 1];
  if (turn === undefined) {
    return fail(RESULT_CODES.INTERNAL, "The call has no recorded end");
  }
  const { code, answer, digest } = turn;
  return Ok({ code, message: "", answer, turn: turn.turn, digest });
}

/**
 * Runs one call of a program, as one task, from its acceptance until its end is
 * recorded.
 */

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
  createAttemptCall,
  createEvent,
  dispatchAttempt,
  type EarlyAttempt,
} from "./dispatch.ts";
import { cancelAttempt, recoverAttempt } from "./run_attempt.ts";

const EMPTY_ANSWER: Answer = { text: "", finish: "", usage: NO_USAGE };

/** Data and functions of the owning group that a runner uses. */
export interface CallOwner {
  readonly group: number;
  readonly term: number;
  readonly maxAttempts: number;
  readonly placement: CallPlacement;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Aborts when this replica stops leading the group. */
  readonly signal: AbortSignal;
  propose(command: ProgramCommand): Promise<Outcome<CallRecord>>;
}

/** A call to run, and its state at the start. */
export interface CallStart {
  readonly program: ProgramRecord;
  readonly call: CallRecord;
  /** Text that the caller received while an earlier owner ran the call. */
  readonly told: string;
  /**
   * The first attempt, if it was sent while the acceptance was being committed.
   */
  readonly early?: EarlyAttempt;
}

/** Runs one call. */
export class CallRunner {
  readonly listeners = new CallListeners();
  readonly #owner: CallOwner;
  readonly #program: ProgramRecord;
  readonly #call: CallRecord;
  readonly #body: CallBody;
  readonly #queueChanged = new WakeSignal();
  readonly #cancelled = new AbortController();
  #deliveredText: string;
  #early: EarlyAttempt | undefined;
  #avoidedSidecarIds: string[] = [];
  /**
   * True once an attempt may have run. The caller must then not receive a code
   * that guarantees that the call did not run.
   */
  #mayHaveRun = false;

  constructor(owner: CallOwner, start: CallStart) {
    if (start.call.body === undefined) throw new Error("The call has ended");
    this.#owner = owner;
    this.#program = start.program;
    this.#call = start.call;
    this.#body = start.call.body;
    this.#deliveredText = start.told;
    this.#early = start.early;
    const abort = () => this.#cancelled.abort(ABORTED);
    owner.signal.addEventListener("abort", abort, { once: true });
  }

  /** Checks again whether this call is the first open call of its program. */
  wake(): void {
    this.#queueChanged.wake();
  }

  /**
   * Cancels a model call because its program has ended. A service call
   * continues.
   */
  cancel(): void {
    if (this.#body.kind === "model") this.#cancelled.abort(ABORTED);
    this.#queueChanged.wake();
  }

  /**
   * Runs the call until its end is recorded.
   *
   * @param dispatch "send" if this owner has just committed the first attempt,
   * "recover" if an earlier owner may have sent it
   */
  async run(dispatch: "send" | "recover"): Promise<void> {
    const startedAt = Date.now();
    const outcome = await this.#runAttempts(dispatch).catch((thrown) => {
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      this.#owner.logger.error("Call failed with an internal error", {
        message,
      });
      return fail(
        RESULT_CODES.INTERNAL,
        "Internal error while the call was run",
      );
    });
    const seconds = (Date.now() - startedAt) / 1_000;
    this.#owner.metrics.callSeconds.observe({ kind: this.#body.kind }, seconds);
    if (outcome.err) {
      countRefusal(this.#owner.metrics, "owner", outcome.val.code);
    }
    // The call was accepted, so the next leader runs it or knows its end. An
    // entry takes NOT_LEADER to mean that it was not accepted.
    const isOwnerLost = outcome.err &&
      outcome.val.code === RESULT_CODES.NOT_LEADER;
    this.listeners.finish(isOwnerLost ? this.#refuseAsNotOwner() : outcome);
  }

  async #runAttempts(
    dispatch: "send" | "recover",
  ): Promise<Outcome<RunCallReply>> {
    let end: AttemptEnd | undefined;
    let previousNeverRan = true;
    if (this.#call.state === CALL_STATES.DISPATCHED) {
      // This owner does not know how attempts before the recorded one ended.
      this.#mayHaveRun = this.#call.attempt > 1 && isIdempotent(this.#body);
      end = await this.#finishAttempt(dispatch);
    }
    for (;;) {
      if (end === undefined) {
        const started = await this.#startAttempt(previousNeverRan);
        if (started.err) return await this.#withdraw(started.val);
        end = await this.#finishAttempt("send");
      }
      if (this.#owner.signal.aborted) return this.#refuseAsNotOwner();
      if (end.kind === "answered") {
        return await this.#recordEnd(RESULT_CODES.OK.name, end.answer);
      }
      if (this.#cancelled.signal.aborted) return await this.#recordCancelled();
      if (end.kind === "lost") this.#mayHaveRun = true;
      const mayRetry = end.kind === "never_ran" || isIdempotent(this.#body);
      if (!mayRetry) {
        return await this.#recordEnd(
          RESULT_CODES.OUTCOME_UNKNOWN.name,
          EMPTY_ANSWER,
        );
      }
      if (this.#call.attempt >= this.#owner.maxAttempts) {
        return await this.#endAfterLastAttempt(end);
      }
      countRetry(this.#owner.metrics, "owner", end.error.code);
      previousNeverRan = end.kind === "never_ran";
      await this.#prepareRetry();
      end = undefined;
    }
  }

  /**
   * Waits until the call is the first open call of its program, places it and
   * commits the dispatch.
   */
  async #startAttempt(previousNeverRan: boolean): Promise<Outcome<CallRecord>> {
    for (;;) {
      if (this.#owner.signal.aborted) return this.#refuseAsNotOwner();
      if (this.#program.ended !== undefined) {
        return fail(RESULT_CODES.PROGRAM_ENDED, "The program has ended");
      }
      const remainingMilliseconds = this.#program.deadlineAt - Date.now();
      if (remainingMilliseconds <= 0) {
        return fail(RESULT_CODES.DEADLINE_PASSED, "The deadline has passed");
      }
      if (this.#program.openCalls[0] === this.#call.requestId) break;
      await this.#queueChanged.wait(Math.min(remainingMilliseconds, 1_000));
    }
    const placed = this.#owner.placement.place(
      this.#program,
      this.#body,
      this.#avoidedSidecarIds,
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
    this.listeners.publish(createEvent(plan, "dispatched"));
    const end = await this.#waitForEnd(plan, dispatch);
    const { sidecarId } = plan.target;
    if (end.kind === "answered") {
      const { usage } = end.answer;
      this.#owner.placement.recordAnswer(this.#program, sidecarId, usage);
      return end;
    }
    this.#avoidedSidecarIds.push(sidecarId);
    if (this.#cancelled.signal.aborted && !this.#owner.signal.aborted) {
      cancelAttempt(createAttemptCall(plan, Date.now()));
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
      return await recoverAttempt(createAttemptCall(plan, Date.now()));
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
    const event = createEvent(this.#planAttempt(), "lost");
    const told = await this.listeners.collectDeliveredText(event);
    if (told.length > this.#deliveredText.length) this.#deliveredText = told;
  }

  async #recordEnd(
    code: string,
    answer: Answer,
  ): Promise<Outcome<RunCallReply>> {
    const recorded = await this.#owner.propose({
      type: "end_call",
      now: Date.now(),
      programId: this.#program.programId,
      requestId: this.#call.requestId,
      attempt: this.#call.attempt,
      end: { code, answer },
    });
    if (recorded.err) return recorded;
    return createRecordedReply(this.#program, recorded.val);
  }

  async #recordCancelled(): Promise<Outcome<RunCallReply>> {
    return await this.#recordEnd(RESULT_CODES.CANCELLED.name, EMPTY_ANSWER);
  }

  async #endAfterLastAttempt(end: AttemptEnd): Promise<Outcome<RunCallReply>> {
    if (end.kind === "answered") {
      return await this.#recordEnd(RESULT_CODES.OK.name, end.answer);
    }
    const lastCode = end.error.code.name;
    return await this.#withdraw({
      code: RESULT_CODES.ATTEMPTS_EXHAUSTED,
      message:
        `All ${this.#call.attempt} attempts failed, the last with ${lastCode}`,
      retryAfterMilliseconds: end.error.retryAfterMilliseconds ?? 1_000,
    });
  }

  /**
   * Withdraws the call, so that the caller can send the same request id again.
   */
  async #withdraw(error: CodedError): Promise<Outcome<RunCallReply>> {
    if (this.#owner.signal.aborted) return this.#refuseAsNotOwner();
    const withdrawn = await this.#owner.propose({
      type: "withdraw_call",
      now: Date.now(),
      programId: this.#program.programId,
      requestId: this.#call.requestId,
      attempt: this.#call.attempt,
    });
    if (withdrawn.err) return withdrawn;
    const isNotRunUncertain = error.code.notRun && this.#mayHaveRun;
    const code = isNotRunUncertain
      ? RESULT_CODES.RETRIES_EXHAUSTED
      : error.code;
    return fail(code, error.message, error.retryAfterMilliseconds);
  }

  #planAttempt(): AttemptPlan {
    const { target, requestId, attempt, acceptance } = this.#call;
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
      acceptance,
      target,
      told: this.#deliveredText,
      signal: this.#cancelled.signal,
    };
  }

  #refuseAsNotOwner() {
    return fail(
      RESULT_CODES.LEADERSHIP_LOST,
      "Another replica owns the program now",
    );
  }
}

/** Creates the reply to a call from its recorded end. */
export function createRecordedReply(
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

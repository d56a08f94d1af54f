/** Sends attempts: what goes to the sidecar, and what the entry is told of it. */

import {
  ABORTED,
  type AttemptKey,
  type CallBody,
  type DispatchRequest,
  isIdempotent,
  type RunCallEvent,
} from "@mallowlift/core";
import type { AttemptTarget, ProgramRecord } from "@mallowlift/programs";
import type { CallPlacement } from "../sidecars/placement.ts";
import type { AttemptEnd } from "./attempt_end.ts";
import { buildPrompt } from "./build_prompt.ts";
import { type AttemptCall, cancelAttempt, sendAttempt } from "./run_attempt.ts";

const RECOVER_IDEMPOTENT_MILLISECONDS = 1_000;
const RECOVER_SINGLE_MILLISECONDS = 8_000;
const LONGEST_MILLISECONDS = 2_000_000_000;

/** One attempt of one call, as its owner describes it. */
export interface AttemptPlan {
  readonly group: number;
  readonly term: number;
  readonly placement: CallPlacement;
  readonly program: ProgramRecord;
  readonly requestId: string;
  readonly body: CallBody;
  readonly attempt: number;
  readonly target: AttemptTarget;
  /** Text told to the caller by earlier attempts. */
  readonly told: string;
  readonly signal: AbortSignal;
}

/** Returns the way to an attempt, with its limits. */
export function describeAttempt(plan: AttemptPlan, now: number): AttemptCall {
  const left = plan.program.deadlineAt - now;
  return {
    caller: plan.placement.findCaller(plan.target.address),
    key: formatKey(plan),
    term: plan.term,
    bootId: plan.target.bootId,
    limitMilliseconds: Math.max(1, Math.min(left, LONGEST_MILLISECONDS)),
    recoverMilliseconds: isIdempotent(plan.body)
      ? RECOVER_IDEMPOTENT_MILLISECONDS
      : RECOVER_SINGLE_MILLISECONDS,
    signal: plan.signal,
  };
}

/** Returns what the entry is told of an attempt. */
export function describeEvent(
  plan: AttemptPlan,
  event: RunCallEvent["event"],
): RunCallEvent {
  const { address, bootId } = plan.target;
  return { event, attempt: formatKey(plan), address, bootId, told: plan.told };
}

/** Dispatches an attempt and waits for its end. */
export async function dispatchAttempt(plan: AttemptPlan): Promise<AttemptEnd> {
  const { placement, target } = plan;
  placement.noteSent(target.sidecarId);
  const call = describeAttempt(plan, Date.now());
  const end = await sendAttempt(call, describeDispatch(plan));
  placement.noteEnded(target.sidecarId);
  return end;
}

function describeDispatch(plan: AttemptPlan): DispatchRequest {
  const { program, body } = plan;
  return {
    key: formatKey(plan),
    term: plan.term,
    bootId: plan.target.bootId,
    outfit: program.spec.outfit,
    priority: program.priority,
    attainedTokens: program.tokensUsed,
    deadlineAt: program.deadlineAt,
    body,
    prompt: buildPrompt(program, body),
    told: plan.told,
  };
}

/**
 * An attempt sent while the acceptance of its call is still being committed.
 * Only idempotent calls may be sent early: if the commit fails, the attempt
 * is wasted work and nothing else.
 */
export class EarlyAttempt {
  readonly plan: AttemptPlan;
  readonly end: Promise<AttemptEnd>;
  readonly #cancelled = new AbortController();

  constructor(plan: Omit<AttemptPlan, "signal">) {
    this.plan = { ...plan, signal: this.#cancelled.signal };
    this.end = dispatchAttempt(this.plan);
  }

  /** Gives the attempt up. */
  cancel(): void {
    if (this.#cancelled.signal.aborted) return;
    this.#cancelled.abort(ABORTED);
    cancelAttempt(describeAttempt(this.plan, Date.now()));
  }
}

function formatKey(plan: AttemptPlan): AttemptKey {
  return {
    group: plan.group,
    programId: plan.program.programId,
    requestId: plan.requestId,
    attempt: plan.attempt,
  };
}

/**
 * Dispatches attempts to sidecars and creates the events about them for
 * entries.
 */

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

/**
 * How long to try to recover a lost attempt: shorter for idempotent calls,
 * because these can simply be sent again.
 */
const IDEMPOTENT_RECOVERY_MILLISECONDS = 1_000;
const NON_IDEMPOTENT_RECOVERY_MILLISECONDS = 8_000;
/** Below the maximum delay of a Node.js timer, 2^31 - 1 ms. */
const MAX_TIMEOUT_MILLISECONDS = 2_000_000_000;

/** The data from which the requests and events of one attempt are created. */
export interface AttemptPlan {
  readonly group: number;
  readonly term: number;
  readonly placement: CallPlacement;
  readonly program: ProgramRecord;
  readonly requestId: string;
  readonly body: CallBody;
  readonly attempt: number;
  readonly acceptance: string | undefined;
  readonly target: AttemptTarget;
  /** Text that the caller received from earlier attempts. */
  readonly told: string;
  readonly signal: AbortSignal;
}

/** Returns the client, key and time limits for requests about an attempt. */
export function createAttemptCall(plan: AttemptPlan, now: number): AttemptCall {
  const remainingMilliseconds = plan.program.deadlineAt - now;
  return {
    caller: plan.placement.getClient(plan.target.address),
    key: createAttemptKey(plan),
    term: plan.term,
    bootId: plan.target.bootId,
    timeoutMilliseconds: Math.max(
      1,
      Math.min(remainingMilliseconds, MAX_TIMEOUT_MILLISECONDS),
    ),
    recoveryMilliseconds: isIdempotent(plan.body)
      ? IDEMPOTENT_RECOVERY_MILLISECONDS
      : NON_IDEMPOTENT_RECOVERY_MILLISECONDS,
    signal: plan.signal,
  };
}

/** Creates an event about an attempt for the entry. */
export function createEvent(
  plan: AttemptPlan,
  event: RunCallEvent["event"],
): RunCallEvent {
  const { address, bootId } = plan.target;
  return {
    event,
    attempt: createAttemptKey(plan),
    address,
    bootId,
    told: plan.told,
  };
}

/** Dispatches an attempt and waits for its end. */
export async function dispatchAttempt(plan: AttemptPlan): Promise<AttemptEnd> {
  const { placement, target } = plan;
  placement.recordDispatch(target.sidecarId);
  const call = createAttemptCall(plan, Date.now());
  const end = await sendAttempt(call, createDispatchRequest(plan));
  placement.recordEnd(target.sidecarId);
  return end;
}

function createDispatchRequest(plan: AttemptPlan): DispatchRequest {
  const { program, body } = plan;
  return {
    key: createAttemptKey(plan),
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
 * An attempt that is sent while the acceptance of its call is still being
 * committed. Only idempotent calls may be sent early: if the commit fails, the
 * attempt has wasted work but does no harm.
 */
export class EarlyAttempt {
  readonly plan: AttemptPlan;
  readonly end: Promise<AttemptEnd>;
  readonly #cancelled = new AbortController();

  constructor(plan: Omit<AttemptPlan, "signal">) {
    this.plan = { ...plan, signal: this.#cancelled.signal };
    this.end = dispatchAttempt(this.plan);
  }

  /** Cancels the attempt. */
  cancel(): void {
    if (this.#cancelled.signal.aborted) return;
    this.#cancelled.abort(ABORTED);
    cancelAttempt(createAttemptCall(this.plan, Date.now()));
  }
}

function createAttemptKey(plan: AttemptPlan): AttemptKey {
  return {
    group: plan.group,
    programId: plan.program.programId,
    requestId: plan.requestId,
    attempt: plan.attempt,
    ...(plan.acceptance === undefined ? {} : { acceptance: plan.acceptance }),
  };
}

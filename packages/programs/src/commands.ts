/** Commands of a program group. Each carries the leader's time. */

import type { CallBody, EndReason, ProgramSpec } from "@mallowlift/core";
import type { AttemptTarget, CallEnd } from "./program_records.ts";

/** Creates a program. */
export interface CreateProgram {
  readonly type: "create_program";
  readonly now: number;
  readonly programId: string;
  readonly spec: ProgramSpec;
}

/** Accepts a call, reserves its budget, and dispatches it if none is before it. */
export interface AcceptCall {
  readonly type: "accept_call";
  readonly now: number;
  readonly programId: string;
  readonly outfit: string;
  readonly requestId: string;
  readonly body: CallBody;
  /** Most open calls that the program may have. */
  readonly openLimit: number;
  readonly target?: AttemptTarget;
}

/** Records that an attempt is about to be sent. */
export interface DispatchCall {
  readonly type: "dispatch_call";
  readonly now: number;
  readonly programId: string;
  readonly requestId: string;
  readonly attempt: number;
  readonly target: AttemptTarget;
  /** True if the earlier attempt was refused and fenced before it ran. */
  readonly previousNeverRan: boolean;
}

/** Records the end of a call. */
export interface EndCall {
  readonly type: "end_call";
  readonly now: number;
  readonly programId: string;
  readonly requestId: string;
  readonly attempt: number;
  readonly end: CallEnd;
}

/** Takes back a call that never ran, so that its request id may come again. */
export interface WithdrawCall {
  readonly type: "withdraw_call";
  readonly now: number;
  readonly programId: string;
  readonly requestId: string;
  readonly attempt: number;
}

/** Ends a program and its children. */
export interface EndProgram {
  readonly type: "end_program";
  readonly now: number;
  readonly programId: string;
  readonly reason: EndReason;
}

/** Forgets an ended root program and its children. */
export interface ForgetProgram {
  readonly type: "forget_program";
  readonly now: number;
  readonly programId: string;
}

/** Any command of a program group. */
export type ProgramCommand =
  | CreateProgram
  | AcceptCall
  | DispatchCall
  | EndCall
  | WithdrawCall
  | EndProgram
  | ForgetProgram;

/**
 * Commands in the log of a program group. `now` is the leader's time in
 * milliseconds since the epoch.
 */

import type { CallBody, EndReason, ProgramSpec } from "@mallowlift/core";
import type { AttemptTarget, CallEnd } from "./program_records.ts";

/** Creates a program. */
export interface CreateProgram {
  readonly type: "create_program";
  readonly now: number;
  readonly programId: string;
  readonly spec: ProgramSpec;
}

/**
 * Accepts a call and reserves its budget. Also dispatches it to `target` if no
 * other call of the program is open.
 */
export interface AcceptCall {
  readonly type: "accept_call";
  readonly now: number;
  readonly programId: string;
  readonly outfit: string;
  readonly requestId: string;
  /** Unique id of this acceptance; see `AttemptKey`. */
  readonly acceptance?: string | undefined;
  readonly body: CallBody;
  /** Maximum number of open calls of the program. */
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
  /** True if the previous attempt was refused or fenced before it ran. */
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

/** Withdraws an open call, so that its request id can be used again. */
export interface WithdrawCall {
  readonly type: "withdraw_call";
  readonly now: number;
  readonly programId: string;
  readonly requestId: string;
  readonly attempt: number;
}

/** Ends a program and its descendants. */
export interface EndProgram {
  readonly type: "end_program";
  readonly now: number;
  readonly programId: string;
  readonly reason: EndReason;
}

/** Deletes an ended root program and its descendants. */
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

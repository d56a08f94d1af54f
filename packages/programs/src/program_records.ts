/** What the replicated state holds of programs and calls. */

import type {
  Answer,
  CallBody,
  EndReason,
  HistoryTurn,
  ProgramSpec,
  ProgramView,
} from "@mallowlift/core";

/** States of a call. */
export const CALL_STATES = {
  /** Accepted; no attempt was ever dispatched, or all were refused unrun. */
  WAITING: "waiting",
  /** An attempt may be running. */
  DISPATCHED: "dispatched",
  /** The end is recorded. */
  ENDED: "ended",
} as const;

/** One of {@linkcode CALL_STATES}. */
export type CallState = typeof CALL_STATES[keyof typeof CALL_STATES];

/** Where an attempt was sent. */
export interface AttemptTarget {
  readonly sidecarId: string;
  readonly bootId: string;
  readonly address: string;
}

/** One call of a program. */
export interface CallRecord {
  readonly requestId: string;
  readonly bodyDigest: string;
  /** Kept until the call ends; then it is in the history. */
  body: CallBody | undefined;
  state: CallState;
  /** Tokens reserved from the budget while the call is open. */
  reservation: number;
  readonly acceptedAt: number;
  /** Number of the latest attempt; 0 before the first. */
  attempt: number;
  target: AttemptTarget | undefined;
  /** Turn that records the end; 0 while the call is open. */
  turn: number;
}

/** One program. */
export interface ProgramRecord {
  readonly programId: string;
  readonly spec: ProgramSpec;
  readonly priority: number;
  /** Wall clock time in milliseconds since the epoch. */
  readonly deadlineAt: number;
  tokensUsed: number;
  tokensReserved: number;
  digest: string;
  readonly history: HistoryTurn[];
  readonly calls: Map<string, CallRecord>;
  /** Request ids of open calls, in order of acceptance. */
  readonly openCalls: string[];
  readonly children: string[];
  lastActivityAt: number;
  ended: EndReason | undefined;
  endedAt: number;
}

/** An end of a call, as it is recorded. */
export interface CallEnd {
  readonly code: string;
  readonly answer: Answer;
}

/** Returns a program as its caller sees it. */
export function viewProgram(program: ProgramRecord): ProgramView {
  return {
    programId: program.programId,
    parent: program.spec.parent,
    priority: program.priority,
    tokenBudget: program.spec.tokenBudget,
    tokensUsed: program.tokensUsed,
    tokensReserved: program.tokensReserved,
    turnLimit: program.spec.turnLimit,
    turns: program.history.length,
    deadlineAt: program.deadlineAt,
    ended: program.ended,
    digest: program.digest,
  };
}

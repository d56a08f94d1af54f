/** Records of programs and calls in the replicated state. */

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
  /** The call is accepted and no attempt has been dispatched yet. */
  WAITING: "waiting",
  /** An attempt has been dispatched and may be running. */
  DISPATCHED: "dispatched",
  /** The end of the call is recorded. */
  ENDED: "ended",
} as const;

/** One of {@linkcode CALL_STATES}. */
export type CallState = typeof CALL_STATES[keyof typeof CALL_STATES];

/** The sidecar to which an attempt was sent. */
export interface AttemptTarget {
  readonly sidecarId: string;
  readonly bootId: string;
  readonly address: string;
}

/** One call of a program. */
export interface CallRecord {
  readonly requestId: string;
  readonly bodyDigest: string;
  /** Undefined once the call has ended; the body is then in the history. */
  body: CallBody | undefined;
  state: CallState;
  /** Tokens reserved from the budget; 0 once the call has ended. */
  reservation: number;
  readonly acceptedAt: number;
  /** Id of the acceptance; undefined for a call that an earlier version accepted. */
  readonly acceptance: string | undefined;
  /** Number of the latest attempt; 0 before the first. */
  attempt: number;
  target: AttemptTarget | undefined;
  /** Number of the turn that records the end; 0 while the call is open. */
  turn: number;
}

/** One program. */
export interface ProgramRecord {
  readonly programId: string;
  readonly spec: ProgramSpec;
  readonly priority: number;
  /** Wall-clock time in milliseconds since the epoch. */
  readonly deadlineAt: number;
  tokensUsed: number;
  tokensReserved: number;
  digest: string;
  readonly history: HistoryTurn[];
  readonly calls: Map<string, CallRecord>;
  /**
   * Request ids of open calls in order of acceptance. Only the first may have a
   * dispatched attempt.
   */
  readonly openCalls: string[];
  readonly children: string[];
  lastActivityAt: number;
  ended: EndReason | undefined;
  endedAt: number;
}

/** The recorded end of a call. */
export interface CallEnd {
  readonly code: string;
  readonly answer: Answer;
}

/** Creates the view of a program that its caller receives. */
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

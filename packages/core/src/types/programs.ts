/** Agent programs: what a caller requests and what it can read back. */

/** Reasons for the end of a program. */
export const END_REASONS = {
  CALLER: "caller",
  LEASE: "lease",
  DEADLINE: "deadline",
  PARENT: "parent",
} as const;

/** One of {@linkcode END_REASONS}. */
export type EndReason = typeof END_REASONS[keyof typeof END_REASONS];

/** Parameters of a new program. */
export interface ProgramSpec {
  readonly outfit: string;
  readonly requestId: string;
  readonly parent?: string;
  /** SHA-256 of the caller's request, to recognize a resent request. */
  readonly askedDigest: string;
  /** Higher runs first; a child without a priority inherits its parent's. */
  readonly priority?: number;
  /** Limit on sent and generated tokens of the program and its children. */
  readonly tokenBudget: number;
  readonly turnLimit: number;
  /** Time from the creation of the program to its end. */
  readonly deadlineMilliseconds: number;
  /** Time without a call after which the program ends. */
  readonly leaseMilliseconds: number;
}

/** State of a program, as returned to its caller. */
export interface ProgramView {
  readonly programId: string;
  readonly parent?: string;
  readonly priority: number;
  readonly tokenBudget: number;
  readonly tokensUsed: number;
  readonly tokensReserved: number;
  readonly turnLimit: number;
  readonly turns: number;
  readonly deadlineAt: number;
  readonly ended?: EndReason;
  readonly digest: string;
}

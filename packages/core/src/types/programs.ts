/** Agent programs. */

/** Why a program ended. */
export const END_REASONS = {
  CALLER: "caller",
  LEASE: "lease",
  DEADLINE: "deadline",
  PARENT: "parent",
} as const;

/** One of {@linkcode END_REASONS}. */
export type EndReason = typeof END_REASONS[keyof typeof END_REASONS];

/** What a caller sets when it creates a program. */
export interface ProgramSpec {
  readonly outfit: string;
  readonly requestId: string;
  readonly parent?: string;
  /** SHA-256 of what the caller asked for, to know a resent request by. */
  readonly askedDigest: string;
  /** Higher runs first; a child without one has its parent's. */
  readonly priority?: number;
  /** Tokens, sent and generated, of the program and its children. */
  readonly tokenBudget: number;
  readonly turnLimit: number;
  /** The program ends this long after it was created. */
  readonly deadlineMilliseconds: number;
  /** The program ends when it makes no call for this long. */
  readonly leaseMilliseconds: number;
}

/** A program as its caller sees it. */
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

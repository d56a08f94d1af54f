/**
 * Reserves and charges the tokens of calls against the budgets of a program and
 * its ancestors.
 */

import {
  type CallBody,
  estimatePromptTokens,
  type Usage,
} from "@mallowlift/core";
import type { ProgramRecord } from "./program_records.ts";

/** Returns a program by its id. */
export type FindProgram = (programId: string) => ProgramRecord | undefined;

/**
 * Returns the maximum number of tokens that a call can use: its messages plus
 * the limit on the answer.
 *
 * @example
 * ```ts
 * computeReservation({ kind: "model", model, messages, maxTokens: 100 });
 * ```
 */
export function computeReservation(body: CallBody): number {
  if (body.kind === "service") return 0;
  return estimatePromptTokens(body.messages) + body.maxTokens;
}

/**
 * Returns the tokens that an answered call used; never more than its
 * reservation.
 */
export function computeUsedTokens(body: CallBody, usage: Usage): number {
  if (body.kind === "service") return 0;
  const generated = Math.min(usage.completionTokens, body.maxTokens);
  return estimatePromptTokens(body.messages) + generated;
}

/**
 * Returns true if the budgets of a program and all its ancestors allow the
 * tokens.
 */
export function canReserve(
  program: ProgramRecord,
  tokens: number,
  find: FindProgram,
): boolean {
  for (const charged of listChargedPrograms(program, find)) {
    const committed = charged.tokensUsed + charged.tokensReserved;
    if (committed + tokens > charged.spec.tokenBudget) return false;
  }
  return true;
}

/** Adds to the reserved and used tokens of a program and all its ancestors. */
export function adjustTokens(
  program: ProgramRecord,
  change: { readonly reserved: number; readonly used: number },
  find: FindProgram,
): void {
  for (const charged of listChargedPrograms(program, find)) {
    charged.tokensReserved += change.reserved;
    charged.tokensUsed += change.used;
  }
}

function listChargedPrograms(
  program: ProgramRecord,
  find: FindProgram,
): readonly ProgramRecord[] {
  const charged = [program];
  let parent = program.spec.parent;
  while (parent !== undefined) {
    const ancestor = find(parent);
    if (ancestor === undefined) break;
    charged.push(ancestor);
    parent = ancestor.spec.parent;
  }
  return charged;
}

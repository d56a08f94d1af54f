/** Budgets: what a call may take, and from whom. */

import { type CallBody, measureMessages, type Usage } from "@mallowlift/core";
import type { ProgramRecord } from "./program_records.ts";

/** Finds a program by its id. */
export type FindProgram = (programId: string) => ProgramRecord | undefined;

/**
 * Most tokens that a call can take: what it sends, and the answer's limit.
 *
 * @example
 * ```ts
 * measureReservation({ kind: "model", model, messages, maxTokens: 100 });
 * ```
 */
export function measureReservation(body: CallBody): number {
  if (body.kind === "service") return 0;
  return measureMessages(body.messages) + body.maxTokens;
}

/** Tokens that an answered call took; never more than its reservation. */
export function measureTaken(body: CallBody, usage: Usage): number {
  if (body.kind === "service") return 0;
  const generated = Math.min(usage.completionTokens, body.maxTokens);
  return measureMessages(body.messages) + generated;
}

/** Returns true if a program and all its ancestors can spare the tokens. */
export function canReserve(
  program: ProgramRecord,
  tokens: number,
  find: FindProgram,
): boolean {
  for (const payer of listPayers(program, find)) {
    const taken = payer.tokensUsed + payer.tokensReserved;
    if (taken + tokens > payer.spec.tokenBudget) return false;
  }
  return true;
}

/** Changes what a program and all its ancestors have reserved and used. */
export function moveTokens(
  program: ProgramRecord,
  change: { readonly reserved: number; readonly used: number },
  find: FindProgram,
): void {
  for (const payer of listPayers(program, find)) {
    payer.tokensReserved += change.reserved;
    payer.tokensUsed += change.used;
  }
}

function listPayers(
  program: ProgramRecord,
  find: FindProgram,
): readonly ProgramRecord[] {
  const payers = [program];
  let parent = program.spec.parent;
  while (parent !== undefined) {
    const payer = find(parent);
    if (payer === undefined) break;
    payers.push(payer);
    parent = payer.spec.parent;
  }
  return payers;
}

/** Ends programs whose lease or deadline has run out, and forgets old ones. */

import { END_REASONS, type EndReason, sleep } from "@mallowlift/core";
import {
  hasTreeEnded,
  type ProgramRecord,
  type ProgramState,
} from "@mallowlift/programs";

const SWEEP_MILLISECONDS = 500;

/** What the sweeper does to programs. */
export interface SweepOptions {
  readonly state: ProgramState;
  /** Time for which an ended program can still be read. */
  readonly forgetMilliseconds: number;
  /** Aborts when the replica no longer leads. */
  readonly signal: AbortSignal;
  end(program: ProgramRecord, reason: EndReason): Promise<unknown>;
  forget(program: ProgramRecord, now: number): Promise<unknown>;
}

/** Looks through all programs again and again while the replica leads. */
export async function sweepPrograms(options: SweepOptions): Promise<void> {
  const { state, signal } = options;
  while (!signal.aborted) {
    await sleep(SWEEP_MILLISECONDS, signal);
    for (const program of [...state.programs]) {
      if (signal.aborted) return;
      await sweepProgram(program, options, Date.now());
    }
  }
}

async function sweepProgram(
  program: ProgramRecord,
  options: SweepOptions,
  now: number,
): Promise<void> {
  const { state, forgetMilliseconds } = options;
  if (program.ended === undefined) {
    const reason = findEndReason(program, state, now);
    if (reason !== undefined) await options.end(program, reason);
    return;
  }
  const isOld = now - program.endedAt > forgetMilliseconds;
  const isRoot = program.spec.parent === undefined;
  const find = (programId: string) => state.find(programId);
  if (!isOld || !isRoot || !hasTreeEnded(program, find)) return;
  await options.forget(program, now);
}

/** Returns why a program should end now, if it should. */
export function findEndReason(
  program: ProgramRecord,
  state: Pick<ProgramState, "find">,
  now: number,
): EndReason | undefined {
  if (now >= program.deadlineAt) return END_REASONS.DEADLINE;
  if (isActive(program, state)) return undefined;
  const idle = now - findLastActivity(program, state);
  return idle > program.spec.leaseMilliseconds ? END_REASONS.LEASE : undefined;
}

function isActive(
  program: ProgramRecord,
  state: Pick<ProgramState, "find">,
): boolean {
  if (program.openCalls.length > 0) return true;
  for (const childId of program.children) {
    const child = state.find(childId);
    if (
      child !== undefined && child.ended === undefined && isActive(child, state)
    ) return true;
  }
  return false;
}

/** A program whose children work is not idle. */
function findLastActivity(
  program: ProgramRecord,
  state: Pick<ProgramState, "find">,
): number {
  let last = program.lastActivityAt;
  for (const childId of program.children) {
    const child = state.find(childId);
    if (child !== undefined) {
      last = Math.max(last, findLastActivity(child, state));
    }
  }
  return last;
}

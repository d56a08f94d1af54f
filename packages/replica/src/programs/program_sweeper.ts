/**
 * Ends programs whose lease or deadline has expired, and deletes programs that
 * ended long ago.
 */

import { END_REASONS, type EndReason, sleep } from "@mallowlift/core";
import {
  hasTreeEnded,
  type ProgramRecord,
  type ProgramState,
} from "@mallowlift/programs";

const SWEEP_INTERVAL_MILLISECONDS = 500;

/** State and actions of the sweeper. */
export interface SweepOptions {
  readonly state: ProgramState;
  /** How long an ended program can still be read. */
  readonly forgetMilliseconds: number;
  /** Aborts when the replica stops leading the group. */
  readonly signal: AbortSignal;
  end(program: ProgramRecord, reason: EndReason): Promise<unknown>;
  forget(program: ProgramRecord, now: number): Promise<unknown>;
}

/** Checks all programs periodically while the replica leads the group. */
export async function sweepPrograms(options: SweepOptions): Promise<void> {
  const { state, signal } = options;
  while (!signal.aborted) {
    await sleep(SWEEP_INTERVAL_MILLISECONDS, signal);
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

/** Returns the reason to end a program now, or undefined if there is none. */
export function findEndReason(
  program: ProgramRecord,
  state: Pick<ProgramState, "find">,
  now: number,
): EndReason | undefined {
  if (now >= program.deadlineAt) return END_REASONS.DEADLINE;
  if (isActive(program, state)) return undefined;
  const idleMilliseconds = now - findLastActivityAt(program, state);
  return idleMilliseconds > program.spec.leaseMilliseconds
    ? END_REASONS.LEASE
    : undefined;
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

/**
 * Returns the last activity of a program or its descendants; activity of a
 * descendant renews the lease.
 */
function findLastActivityAt(
  program: ProgramRecord,
  state: Pick<ProgramState, "find">,
): number {
  let last = program.lastActivityAt;
  for (const childId of program.children) {
    const child = state.find(childId);
    if (child !== undefined) {
      last = Math.max(last, findLastActivityAt(child, state));
    }
  }
  return last;
}

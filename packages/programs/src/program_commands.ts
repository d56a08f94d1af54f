/** Applies the commands on programs to the replicated state. */

import {
  EMPTY_HISTORY_DIGEST,
  END_REASONS,
  type EndReason,
  fail,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { FindProgram } from "./budget.ts";
import type { CreateProgram, EndProgram } from "./commands.ts";
import { CALL_STATES, type ProgramRecord } from "./program_records.ts";

const DEFAULT_PRIORITY = 10;

/**
 * Creates a program. A program id that is already known with the same spec
 * returns the known program.
 */
export function createProgram(
  command: CreateProgram,
  find: FindProgram,
): Outcome<ProgramRecord> {
  const known = find(command.programId);
  if (known !== undefined) {
    if (isSameSpec(known, command)) return Ok(known);
    return fail(
      RESULT_CODES.REQUEST_ID_REUSED,
      "The request id was used for another program",
    );
  }
  const attached = addToParent(command, find);
  if (attached.err) return attached;
  return Ok({
    programId: command.programId,
    spec: command.spec,
    priority: command.spec.priority ?? attached.val?.priority ??
      DEFAULT_PRIORITY,
    deadlineAt: command.now + command.spec.deadlineMilliseconds,
    tokensUsed: 0,
    tokensReserved: 0,
    digest: EMPTY_HISTORY_DIGEST,
    history: [],
    calls: new Map(),
    openCalls: [],
    children: [],
    lastActivityAt: command.now,
    ended: undefined,
    endedAt: 0,
  });
}

/**
 * Ends a program and its descendants. The owner then withdraws calls that were
 * not dispatched.
 */
export function endProgram(
  command: EndProgram,
  find: FindProgram,
): Outcome<ProgramRecord> {
  const program = find(command.programId);
  if (program === undefined) {
    return fail(RESULT_CODES.PROGRAM_NOT_FOUND, "The program does not exist");
  }
  endTree(program, { reason: command.reason, now: command.now, find });
  return Ok(program);
}

/**
 * Returns true if a program and all its descendants have ended and have no open
 * calls.
 */
export function hasTreeEnded(
  program: ProgramRecord,
  find: FindProgram,
): boolean {
  if (program.ended === undefined || program.openCalls.length > 0) return false;
  for (const childId of program.children) {
    const child = find(childId);
    if (child !== undefined && !hasTreeEnded(child, find)) return false;
  }
  return true;
}

function isSameSpec(known: ProgramRecord, command: CreateProgram): boolean {
  return known.spec.askedDigest === command.spec.askedDigest &&
    known.spec.parent === command.spec.parent;
}

/**
 * Adds a new program to its parent. Returns the parent, or undefined for a root
 * program.
 */
function addToParent(
  command: CreateProgram,
  find: FindProgram,
): Outcome<ProgramRecord | undefined> {
  const parentId = command.spec.parent;
  if (parentId === undefined) return Ok(undefined);
  const parent = find(parentId);
  if (parent === undefined || parent.spec.outfit !== command.spec.outfit) {
    return fail(RESULT_CODES.PROGRAM_NOT_FOUND, "The program does not exist");
  }
  if (parent.ended !== undefined) {
    return fail(RESULT_CODES.PROGRAM_ENDED, "The parent program has ended");
  }
  parent.children.push(command.programId);
  parent.lastActivityAt = command.now;
  return Ok(parent);
}

interface EndOptions {
  readonly reason: EndReason;
  readonly now: number;
  readonly find: FindProgram;
}

function endTree(program: ProgramRecord, options: EndOptions): void {
  if (program.ended === undefined) {
    program.ended = options.reason;
    program.endedAt = options.now;
    program.lastActivityAt = options.now;
  }
  for (const childId of program.children) {
    const child = options.find(childId);
    if (child === undefined || child.ended !== undefined) continue;
    endTree(child, { ...options, reason: END_REASONS.PARENT });
  }
}

/** Returns true if an attempt of an open call of the program may be running. */
export function hasDispatchedCall(program: ProgramRecord): boolean {
  for (const requestId of program.openCalls) {
    if (program.calls.get(requestId)?.state === CALL_STATES.DISPATCHED) {
      return true;
    }
  }
  return false;
}

/** Applies the commands on calls to the replicated state. */

import {
  extendDigest,
  fail,
  hashText,
  isIdempotent,
  type Outcome,
  RESULT_CODES,
  serializeStable,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import {
  adjustTokens,
  canReserve,
  computeReservation,
  computeUsedTokens,
  type FindProgram,
} from "./budget.ts";
import type {
  AcceptCall,
  DispatchCall,
  EndCall,
  WithdrawCall,
} from "./commands.ts";
import {
  CALL_STATES,
  type CallRecord,
  type ProgramRecord,
} from "./program_records.ts";

interface OpenCall {
  readonly program: ProgramRecord;
  readonly call: CallRecord;
}

/**
 * Accepts a call. A request id that is already known with the same body returns
 * the known call.
 */
export function acceptCall(
  command: AcceptCall,
  find: FindProgram,
): Outcome<CallRecord> {
  const program = find(command.programId);
  if (program === undefined || program.spec.outfit !== command.outfit) {
    return fail(RESULT_CODES.PROGRAM_NOT_FOUND, "The program does not exist");
  }
  const bodyDigest = hashText(serializeStable(command.body));
  const known = program.calls.get(command.requestId);
  if (known !== undefined) {
    if (known.bodyDigest === bodyDigest) return Ok(known);
    return fail(
      RESULT_CODES.REQUEST_ID_REUSED,
      "The request id was used for another call",
    );
  }
  const allowed = checkNewCall(program, command, find);
  if (allowed.err) return allowed;
  const reservation = computeReservation(command.body);
  adjustTokens(program, { reserved: reservation, used: 0 }, find);
  const call: CallRecord = {
    requestId: command.requestId,
    bodyDigest,
    body: command.body,
    state: CALL_STATES.WAITING,
    reservation,
    acceptedAt: command.now,
    acceptance: command.acceptance,
    attempt: 0,
    target: undefined,
    turn: 0,
  };
  program.calls.set(call.requestId, call);
  program.openCalls.push(call.requestId);
  program.lastActivityAt = command.now;
  if (command.target !== undefined && program.openCalls.length === 1) {
    startAttempt(call, command.target);
  }
  return Ok(call);
}

/** Starts the next attempt of the first open call of a program. */
export function dispatchCall(
  command: DispatchCall,
  find: FindProgram,
): Outcome<CallRecord> {
  const found = findOpenCall(command, find);
  if (found.err) return found;
  const { program, call } = found.val;
  if (program.openCalls[0] !== call.requestId) {
    return fail(
      RESULT_CODES.INTERNAL,
      "An earlier call of the program is open",
    );
  }
  if (command.attempt !== call.attempt + 1) {
    return fail(RESULT_CODES.INTERNAL, "The attempt number is out of sequence");
  }
  if (program.ended !== undefined) {
    return fail(RESULT_CODES.PROGRAM_ENDED, "The program has ended");
  }
  const mayRepeat = call.body !== undefined && isIdempotent(call.body);
  if (call.attempt > 0 && !mayRepeat && !command.previousNeverRan) {
    return fail(
      RESULT_CODES.OUTCOME_UNKNOWN,
      "The call may have run and is not idempotent",
    );
  }
  startAttempt(call, command.target);
  return Ok(call);
}

/** Records the end of a call as the next turn of the history. */
export function endCall(
  command: EndCall,
  find: FindProgram,
): Outcome<CallRecord> {
  const found = findOpenCall(command, find);
  if (found.err) return found;
  const { program, call } = found.val;
  const body = call.body;
  if (command.attempt !== call.attempt || body === undefined) {
    return fail(
      RESULT_CODES.INTERNAL,
      "The answer belongs to an earlier attempt",
    );
  }
  const used = computeUsedTokens(body, command.end.answer.usage);
  adjustTokens(program, { reserved: -call.reservation, used }, find);
  const turn = program.history.length + 1;
  const content = { requestId: call.requestId, body, ...command.end };
  program.digest = extendDigest(program.digest, content);
  program.history.push({ turn, ...content, digest: program.digest });
  call.state = CALL_STATES.ENDED;
  call.turn = turn;
  call.body = undefined;
  call.reservation = 0;
  closeCall(program, call, command.now);
  return Ok(call);
}

/**
 * Withdraws a call that has no recorded end, so that its request id can be used
 * again.
 */
export function withdrawCall(
  command: WithdrawCall,
  find: FindProgram,
): Outcome<CallRecord> {
  const found = findOpenCall(command, find);
  if (found.err) return found;
  const { program, call } = found.val;
  if (command.attempt !== call.attempt) {
    return fail(RESULT_CODES.INTERNAL, "Another attempt has been started");
  }
  adjustTokens(program, { reserved: -call.reservation, used: 0 }, find);
  program.calls.delete(call.requestId);
  closeCall(program, call, command.now);
  return Ok(call);
}

/** Checks whether a program may start another call. */
export function checkNewCall(
  program: ProgramRecord,
  command: Pick<AcceptCall, "now" | "openLimit" | "body">,
  find: FindProgram,
): Outcome<void> {
  const allowed = checkLimits(program, command);
  if (allowed.err) return allowed;
  if (canReserve(program, computeReservation(command.body), find)) {
    return Ok(undefined);
  }
  return fail(
    RESULT_CODES.BUDGET_EXCEEDED,
    "The call could exceed the token budget",
  );
}

function checkLimits(
  program: ProgramRecord,
  command: Pick<AcceptCall, "now" | "openLimit">,
): Outcome<void> {
  if (program.ended !== undefined) {
    return fail(RESULT_CODES.PROGRAM_ENDED, "The program has ended");
  }
  if (command.now >= program.deadlineAt) {
    return fail(
      RESULT_CODES.DEADLINE_PASSED,
      "The deadline of the program has passed",
    );
  }
  if (program.openCalls.length >= command.openLimit) {
    return fail(
      RESULT_CODES.TOO_MANY_CALLS,
      "The program has too many open calls",
    );
  }
  const turns = program.history.length + program.openCalls.length;
  if (turns >= program.spec.turnLimit) {
    return fail(RESULT_CODES.TURN_LIMIT, "The program has used all its turns");
  }
  return Ok(undefined);
}

function startAttempt(call: CallRecord, target: CallRecord["target"]): void {
  call.state = CALL_STATES.DISPATCHED;
  call.attempt++;
  call.target = target;
}

function findOpenCall(
  key: { readonly programId: string; readonly requestId: string },
  find: FindProgram,
): Outcome<OpenCall> {
  const program = find(key.programId);
  const call = program?.calls.get(key.requestId);
  if (
    program === undefined || call === undefined ||
    call.state === CALL_STATES.ENDED
  ) {
    return fail(RESULT_CODES.INTERNAL, "The call is not open");
  }
  return Ok({ program, call });
}

function closeCall(
  program: ProgramRecord,
  call: CallRecord,
  now: number,
): void {
  const position = program.openCalls.indexOf(call.requestId);
  if (position >= 0) program.openCalls.splice(position, 1);
  program.lastActivityAt = now;
}

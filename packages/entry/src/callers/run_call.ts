/** Sends calls to the owner of their program and waits for the result. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  ABORTED,
  type CallBody,
  type CodedError,
  type Outcome,
  RESULT_CODES,
  type RunCallReply,
} from "@mallowlift/core";
import type { EntryContext } from "../entry_context.ts";
import { answerError } from "../http/answer.ts";
import type { StreamFollower } from "./stream_follower.ts";

const RUN_CALL_TIMEOUT_MILLISECONDS = 2_000_000_000;

/** A checked call that can be sent to the owner of its program. */
export interface PreparedCall {
  readonly outfit: string;
  readonly programId: string;
  readonly requestId: string;
  readonly body: CallBody;
}

/**
 * Runs a call, or attaches to it if it is already in flight, and waits for its
 * recorded end.
 */
export async function runCall(
  context: EntryContext,
  options: {
    readonly call: PreparedCall;
    readonly signal: AbortSignal;
    readonly follower?: StreamFollower;
  },
): Promise<Outcome<RunCallReply>> {
  const { call, signal, follower } = options;
  const stream = follower !== undefined;
  return await context.owners.call(context.findGroup(call.programId), {
    name: "calls.run",
    // Created again for each owner, so that it has the text delivered so far.
    createRequest: () => ({ ...call, stream, told: follower?.told ?? "" }),
  }, {
    timeoutMilliseconds: RUN_CALL_TIMEOUT_MILLISECONDS,
    signal,
    onChunk: (event) => follower?.handleEvent(event),
  });
}

/**
 * Returns a signal that aborts when the caller disconnects. A call that its
 * owner has accepted continues without the caller.
 */
export function createDisconnectSignal(request: Request): AbortSignal {
  const disconnected = new AbortController();
  request.raw.res.once("close", () => disconnected.abort(ABORTED));
  return disconnected.signal;
}

/**
 * Answers with the error of a call. NO_LEADER is reported as an error of this
 * entry, since no owner accepted the call, and all others as errors of the owner.
 */
export function answerCallError(
  toolkit: ResponseToolkit,
  error: CodedError,
): ResponseObject {
  const byEntry = error.code === RESULT_CODES.NO_LEADER;
  return answerError(toolkit, error, byEntry ? "entry" : "owner");
}

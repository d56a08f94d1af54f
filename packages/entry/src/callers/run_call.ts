/** Sends calls to the owner of their program and waits for the result. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  type CallBody,
  type CodedError,
  type Outcome,
  RESULT_CODES,
  type RunCallReply,
} from "@mallowlift/core";
import type { EntryContext } from "../entry_context.ts";
import { answerError } from "../http/answer.ts";
import { STOPPING } from "../http/open_requests.ts";
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
 * Answers with the error of an owner. NO_LEADER is reported as an error of this
 * entry, since no owner accepted the request, and so are the errors with which a
 * stop of this entry ends a request.
 */
export function answerOwnerError(
  context: EntryContext,
  options: {
    readonly request: Request;
    readonly toolkit: ResponseToolkit;
    readonly error: CodedError;
  },
): ResponseObject {
  const { request, toolkit, error } = options;
  context.requests.reportStopped(request, error);
  return answerError(toolkit, error, findErrorSource(context, request, error));
}

/** Returns where the error of a request comes from. */
export function findErrorSource(
  context: EntryContext,
  request: Request,
  error: CodedError,
): "entry" | "owner" {
  const isStopped = context.requests.getSignal(request).reason === STOPPING;
  return isStopped || error.code === RESULT_CODES.NO_LEADER ? "entry" : "owner";
}

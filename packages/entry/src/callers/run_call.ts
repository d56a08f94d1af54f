/** Sends a call to the owner of its program. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  ABORTED,
  type CallBody,
  type CodedError,
  type Outcome,
  RESULT_CODES,
  type RunCallReply,
} from "@mallowlift/core";
import type { EntryParts } from "../entry_parts.ts";
import { answerError } from "../http/answer.ts";
import type { StreamFollower } from "./follow_stream.ts";

const LONG_CALL_MILLISECONDS = 2_000_000_000;

/** A call that is ready to be sent to its owner. */
export interface PreparedCall {
  readonly outfit: string;
  readonly programId: string;
  readonly requestId: string;
  readonly body: CallBody;
}

/** Runs a call, or joins it, and waits for its recorded end. */
export async function runCall(
  parts: EntryParts,
  options: {
    readonly call: PreparedCall;
    readonly signal: AbortSignal;
    readonly follower?: StreamFollower;
  },
): Promise<Outcome<RunCallReply>> {
  const { call, signal, follower } = options;
  const stream = follower !== undefined;
  return await parts.owners.call(parts.findGroup(call.programId), {
    name: "calls.run",
    // Made anew for each owner, which needs the text told so far.
    createRequest: () => ({ ...call, stream, told: follower?.told ?? "" }),
  }, {
    timeoutMilliseconds: LONG_CALL_MILLISECONDS,
    signal,
    onChunk: (event) => follower?.takeEvent(event),
  });
}

/** Aborts when the caller goes away; an accepted call goes on without it. */
export function watchCaller(request: Request): AbortSignal {
  const gone = new AbortController();
  request.raw.res.once("close", () => gone.abort(ABORTED));
  return gone.signal;
}

/** Answers with a refusal that the owner, or nobody, has given. */
export function refuseByOwner(
  toolkit: ResponseToolkit,
  error: CodedError,
): ResponseObject {
  const byEntry = error.code === RESULT_CODES.NO_LEADER;
  return answerError(toolkit, error, byEntry ? "entry" : "owner");
}

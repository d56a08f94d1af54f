/** A model call whose answer is streamed to its caller. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  type CodedError,
  type Outcome,
  RESULT_CODES,
  type RunCallReply,
} from "@mallowlift/core";
import type { EntryParts } from "../entry_parts.ts";
import { createErrorBody } from "../http/answer.ts";
import { EventOutput } from "../http/event_output.ts";
import { describeModelAnswer, findRecordedFailure } from "./call_answers.ts";
import { StreamFollower, TELL_LIMIT_MILLISECONDS } from "./follow_stream.ts";
import {
  type PreparedCall,
  refuseByOwner,
  runCall,
  watchCaller,
} from "./run_call.ts";

const CHUNK_ENDING = `},"finish_reason":null}]}`;
const END_MARK = "[DONE]";

/** Runs a model call and writes its text as it comes. */
export async function streamModelCall(
  parts: EntryParts,
  options: {
    readonly request: Request;
    readonly toolkit: ResponseToolkit;
    readonly call: PreparedCall;
    readonly model: string;
  },
): Promise<ResponseObject | symbol> {
  const { request, toolkit, call, model } = options;
  const output = new EventOutput(request.raw.res);
  const signal = watchCaller(request);
  const beginning = describeChunkBeginning(call, model);
  const follower = new StreamFollower({
    findSidecar: (address) => parts.links.get(address),
    sendTold: (told) =>
      parts.owners.call(parts.findGroup(told.programId), {
        name: "calls.told",
        createRequest: () => told,
      }, { timeoutMilliseconds: TELL_LIMIT_MILLISECONDS }),
    onText: (text) =>
      output.writeText(`${beginning}${JSON.stringify(text)}${CHUNK_ENDING}`),
    signal,
  });
  const reply = await runCall(parts, { call, signal, follower });
  const failure = findStreamFailure(reply, follower);
  // A refusal before the first text has a status of its own.
  if (failure !== undefined && !output.isOpen) {
    return refuseByOwner(toolkit, failure);
  }
  if (failure !== undefined) {
    output.writeText(JSON.stringify(createErrorBody(failure, "owner")));
  } else if (reply.ok) {
    const answer = describeModelAnswer(call, model, reply.val);
    output.writeText(JSON.stringify(answer));
    output.writeText(END_MARK);
  }
  output.end();
  return toolkit.abandon;
}

function findStreamFailure(
  reply: Outcome<RunCallReply>,
  follower: StreamFollower,
): CodedError | undefined {
  if (reply.err) return reply.val;
  const failure = findRecordedFailure(reply.val);
  if (failure !== undefined) return failure;
  if (follower.finish(reply.val.answer.text)) return undefined;
  const code = RESULT_CODES.STREAM_BROKEN;
  return { code, message: code.meaning };
}

/** Everything of a chunk before its text; the same for all chunks of a call. */
function describeChunkBeginning(call: PreparedCall, model: string): string {
  const id = JSON.stringify(call.requestId);
  return `{"id":${id},"object":"chat.completion.chunk",` +
    `"model":${
      JSON.stringify(model)
    },"choices":[{"index":0,"delta":{"content":`;
}

/** Runs model calls whose answers are streamed to the caller. */

import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  type CodedError,
  type Outcome,
  RESULT_CODES,
  type RunCallReply,
} from "@mallowlift/core";
import type { EntryContext } from "../entry_context.ts";
import { createErrorBody } from "../http/answer.ts";
import { EventStreamWriter } from "../http/event_stream_writer.ts";
import { STOPPING } from "../http/open_requests.ts";
import { createModelAnswerBody, findRecordedFailure } from "./call_answers.ts";
import {
  DELIVERY_REPORT_TIMEOUT_MILLISECONDS,
  StreamFollower,
} from "./stream_follower.ts";
import {
  answerOwnerError,
  findErrorSource,
  type PreparedCall,
  runCall,
} from "./run_call.ts";

const CHUNK_SUFFIX = `},"finish_reason":null}]}`;
const LAST_EVENT_DATA = "[DONE]";

/** Runs a model call and streams its text as it is generated. */
export async function streamModelCall(
  context: EntryContext,
  options: {
    readonly request: Request;
    readonly toolkit: ResponseToolkit;
    readonly call: PreparedCall;
    readonly model: string;
  },
): Promise<ResponseObject | symbol> {
  const { request, toolkit, call, model } = options;
  const output = new EventStreamWriter(request.raw.res, context.unread);
  const signal = context.requests.getSignal(request);
  const chunkPrefix = createChunkPrefix(call, model);
  const follower = new StreamFollower({
    findSidecar: (address) => context.links.get(address),
    reportDeliveredText: (delivered) =>
      context.owners.call(context.findGroup(delivered.programId), {
        name: "calls.told",
        createRequest: () => delivered,
      }, { timeoutMilliseconds: DELIVERY_REPORT_TIMEOUT_MILLISECONDS }),
    onText: (text) =>
      output.writeEvent(`${chunkPrefix}${JSON.stringify(text)}${CHUNK_SUFFIX}`),
    signal,
  });
  const reply = await runCall(context, { call, signal, follower });
  output.isEnding = true;
  const failure = findStreamFailure(reply, follower);
  // Before the first event, the failure can still set the HTTP status.
  if (failure !== undefined && !output.isOpen) {
    return answerOwnerError(context, { request, toolkit, error: failure });
  }
  if (failure !== undefined) {
    context.requests.reportStopped(request, failure);
    const source = findErrorSource(context, request, failure);
    output.writeEvent(JSON.stringify(createErrorBody(failure, source)));
    if (signal.reason === STOPPING) {
      output.breakOff();
      return toolkit.abandon;
    }
  } else if (reply.ok) {
    const answer = createModelAnswerBody(call, model, reply.val);
    output.writeEvent(JSON.stringify(answer));
    output.writeEvent(LAST_EVENT_DATA);
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

/** Returns the JSON before the text of a chunk; all chunks of a call share it. */
function createChunkPrefix(call: PreparedCall, model: string): string {
  const id = JSON.stringify(call.requestId);
  return `{"id":${id},"object":"chat.completion.chunk",` +
    `"model":${
      JSON.stringify(model)
    },"choices":[{"index":0,"delta":{"content":`;
}

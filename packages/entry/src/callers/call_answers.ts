/** Response bodies of model and service calls. */

import {
  type CodedError,
  findResultCode,
  RESULT_CODES,
  type RunCallReply,
} from "@mallowlift/core";

/** Response body of a model call, in the chat-completions format. */
export interface ModelAnswerBody {
  readonly id: string;
  readonly object: "chat.completion";
  readonly model: string;
  readonly choices: readonly {
    readonly index: 0;
    readonly message: { readonly role: "assistant"; readonly content: string };
    readonly finish_reason: string;
  }[];
  readonly usage: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly cached_tokens: number;
  };
  readonly program: string;
  readonly turn: number;
  readonly digest: string;
}

/** Response body of a service call. */
export interface ServiceAnswerBody {
  readonly id: string;
  readonly status: number;
  readonly result: unknown;
  readonly program: string;
  readonly turn: number;
  readonly digest: string;
}

/** Identifies the call that an answer belongs to. */
export interface AnsweredCall {
  readonly programId: string;
  readonly requestId: string;
}

/** Creates the response body of a model call that has ended. */
export function createModelAnswerBody(
  call: AnsweredCall,
  model: string,
  reply: RunCallReply,
): ModelAnswerBody {
  const { answer } = reply;
  return {
    id: call.requestId,
    object: "chat.completion",
    model,
    choices: [{
      index: 0,
      message: { role: "assistant", content: answer.text },
      finish_reason: answer.finish,
    }],
    usage: {
      prompt_tokens: answer.usage.promptTokens,
      completion_tokens: answer.usage.completionTokens,
      cached_tokens: answer.usage.cachedTokens,
    },
    program: call.programId,
    turn: reply.turn,
    digest: reply.digest,
  };
}

/** Creates the response body of a service call that has ended. */
export function createServiceAnswerBody(
  call: AnsweredCall,
  reply: RunCallReply,
): ServiceAnswerBody {
  return {
    id: call.requestId,
    status: Number(reply.answer.finish),
    result: parseServiceResult(reply.answer.text),
    program: call.programId,
    turn: reply.turn,
    digest: reply.digest,
  };
}

/** Returns the failure that a call ended with, or undefined if it succeeded. */
export function findRecordedFailure(
  reply: RunCallReply,
): CodedError | undefined {
  const code = findResultCode(reply.code);
  if (code === RESULT_CODES.OK) return undefined;
  return { code, message: code.meaning };
}

function parseServiceResult(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** Shapes of the answers to calls. */

import {
  type CodedError,
  findResultCode,
  RESULT_CODES,
  type RunCallReply,
} from "@mallowlift/core";

/** A model answer, in the shape of the chat-completions convention. */
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

/** A service answer. */
export interface ServiceAnswerBody {
  readonly id: string;
  readonly status: number;
  readonly result: unknown;
  readonly program: string;
  readonly turn: number;
  readonly digest: string;
}

/** Names the call that an answer belongs to. */
export interface AnswerSubject {
  readonly programId: string;
  readonly requestId: string;
}

/** Makes the body of a whole model answer. */
export function describeModelAnswer(
  subject: AnswerSubject,
  model: string,
  reply: RunCallReply,
): ModelAnswerBody {
  const { answer } = reply;
  return {
    id: subject.requestId,
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
    program: subject.programId,
    turn: reply.turn,
    digest: reply.digest,
  };
}

/** Makes the body of a service answer. */
export function describeServiceAnswer(
  subject: AnswerSubject,
  reply: RunCallReply,
): ServiceAnswerBody {
  return {
    id: subject.requestId,
    status: Number(reply.answer.finish),
    result: parseResult(reply.answer.text),
    program: subject.programId,
    turn: reply.turn,
    digest: reply.digest,
  };
}

/** Returns the failure that was recorded as the end of a call, if it was one. */
export function findRecordedFailure(
  reply: RunCallReply,
): CodedError | undefined {
  const code = findResultCode(reply.code);
  if (code === RESULT_CODES.OK) return undefined;
  return { code, message: code.meaning };
}

function parseResult(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

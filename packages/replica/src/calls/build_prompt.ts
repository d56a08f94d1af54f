/**
 * Builds the complete prompt of a model call from the history of its program.
 */

import {
  type CallBody,
  type ChatMessage,
  RESULT_CODES,
} from "@mallowlift/core";
import type { ProgramRecord } from "@mallowlift/programs";

/**
 * Returns the messages and answers of the program's successful model turns,
 * followed by the new messages of the call. Service calls have no prompt.
 */
export function buildPrompt(
  program: ProgramRecord,
  body: CallBody,
): readonly ChatMessage[] {
  if (body.kind === "service") return [];
  const prompt: ChatMessage[] = [];
  for (const turn of program.history) {
    if (turn.body.kind !== "model" || turn.code !== RESULT_CODES.OK.name) {
      continue;
    }
    prompt.push(...turn.body.messages);
    prompt.push({ role: "assistant", content: turn.answer.text });
  }
  prompt.push(...body.messages);
  return prompt;
}

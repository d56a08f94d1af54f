/** The whole prompt of a model call, from the history of its program. */

import {
  type CallBody,
  type ChatMessage,
  RESULT_CODES,
} from "@mallowlift/core";
import type { ProgramRecord } from "@mallowlift/programs";

/** Puts the turns of a program before the new messages of a call. */
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

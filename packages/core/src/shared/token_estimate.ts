/** Estimates the tokens of prompt messages for token budgets. */

import { Buffer } from "node:buffer";
import type { ChatMessage } from "../types/calls.ts";

const BYTES_PER_TOKEN = 4;
const TOKENS_PER_MESSAGE = 4;

/**
 * Returns the number of tokens that a budget is charged for new prompt messages:
 * one for every four bytes of UTF-8, rounded up, and four for each message.
 * Engines count differently, but budgets charge what a caller sends by this
 * estimate, so that a reservation is exact.
 *
 * @example
 * ```ts
 * estimatePromptTokens([{ role: "user", content: "stake 12" }]); // 6
 * ```
 */
export function estimatePromptTokens(messages: readonly ChatMessage[]): number {
  let tokens = 0;
  for (const message of messages) {
    tokens += TOKENS_PER_MESSAGE;
    tokens += Math.ceil(Buffer.byteLength(message.content) / BYTES_PER_TOKEN);
  }
  return tokens;
}

/** One generation of the fake engine. */

import { createHash } from "node:crypto";
import type { ChatMessage } from "@mallowlift/core";

const WORDS = [
  "ice",
  "stake",
  "melt",
  "firn",
  "crate",
  "wharf",
  "till",
  "snow",
];
const BYTES_PER_TOKEN = 4;

/** What a generation is asked for. */
export interface GenerationRequest {
  readonly id: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly max_tokens: number;
  readonly priority: number;
  readonly session: string;
  readonly continue_text: string;
}

/**
 * Words that the fake engine answers a prompt with. They follow from the
 * prompt alone, so a test knows the whole answer beforehand.
 *
 * @example
 * ```ts
 * composeAnswer([{ role: "user", content: "stake 12" }], 3); // three words
 * ```
 */
export function composeAnswer(
  messages: readonly ChatMessage[],
  tokens: number,
  salt = "",
): string {
  const seed = createSeed(messages, salt);
  let text = "";
  for (let position = 0; position < tokens; position++) {
    text += composeWord(seed, position);
  }
  return text;
}

/** Engines with different salts answer the same prompt differently. */
function createSeed(
  messages: readonly ChatMessage[],
  salt: string,
): Uint8Array {
  return createHash("sha1").update(salt + JSON.stringify(messages)).digest();
}

function composeWord(seed: Uint8Array, position: number): string {
  const byte = seed[position % seed.length] ?? 0;
  const word = WORDS[(byte + position) % WORDS.length] ?? "";
  return `${word}${position} `;
}

/** One running or finished generation. */
export class Generation {
  readonly request: GenerationRequest;
  readonly #answer: string;
  readonly #seed: Uint8Array;
  promptTokens = 0;
  cachedTokens = 0;
  /** Steps until the prompt is computed. */
  prefillSteps = 0;
  tokens: number;
  text = "";
  finished = false;
  cancelled = false;
  endedAt = Infinity;
  onGrowth: (() => void) | undefined;

  constructor(request: GenerationRequest, salt: string) {
    this.request = request;
    this.#seed = createSeed(request.messages, salt);
    this.#answer = composeAnswer(request.messages, request.max_tokens, salt);
    this.tokens = request.continue_text.split(" ").length - 1;
  }

  /** Words that the whole answer has, with the part it continues. */
  get totalTokens(): number {
    return this.request.max_tokens;
  }

  /** Generates one token, or computes a part of the prompt. */
  step(now: number): void {
    if (this.prefillSteps > 0) {
      this.prefillSteps--;
      return;
    }
    // A text to be continued may already be the whole answer.
    if (this.tokens < this.totalTokens) {
      this.text += composeWord(this.#seed, this.tokens);
      this.tokens++;
    }
    if (this.tokens >= this.totalTokens) {
      this.finished = true;
      this.endedAt = now;
    }
    this.onGrowth?.();
  }

  /** The whole answer, for the cache. */
  get answer(): string {
    return this.#answer;
  }

  /** Tokens of the text so far, as usage counts them. */
  get generated(): number {
    return this.tokens;
  }
}

/** Approximate tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / BYTES_PER_TOKEN);
}

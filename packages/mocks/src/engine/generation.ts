/** One generation of the fake engine, and the answer that it produces. */

import { createHash } from "node:crypto";
import type { ChatMessage } from "@mallowlift/core";

const ANSWER_WORDS = [
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

/** Request of a generation, as the engine receives it over HTTP. */
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
 * Returns the answer of a fake engine to a prompt. It depends only on the
 * prompt and the engine's salt, so that a test can compute the expected answer.
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

/** Hashes a prompt; engines with different salts give different answers. */
function createSeed(
  messages: readonly ChatMessage[],
  salt: string,
): Uint8Array {
  return createHash("sha1").update(salt + JSON.stringify(messages)).digest();
}

function composeWord(seed: Uint8Array, position: number): string {
  const byte = seed[position % seed.length] ?? 0;
  const word = ANSWER_WORDS[(byte + position) % ANSWER_WORDS.length] ?? "";
  return `${word}${position} `;
}

/** One running or finished generation. */
export class Generation {
  readonly request: GenerationRequest;
  readonly #answer: string;
  readonly #seed: Uint8Array;
  promptTokens = 0;
  /** Prompt tokens that were found in the cache. */
  cachedTokens = 0;
  /** Steps that are left until the prompt is processed. */
  prefillSteps = 0;
  /** Tokens of the answer so far, with the text that the request continues. */
  tokens: number;
  /** Text that was generated here, without the text that the request continues. */
  text = "";
  finished = false;
  cancelled = false;
  /** Time at which the generation finished, ms since the epoch. */
  endedAt = Infinity;
  /** Called after each step that may have generated text. */
  onProgress: (() => void) | undefined;

  constructor(request: GenerationRequest, salt: string) {
    this.request = request;
    this.#seed = createSeed(request.messages, salt);
    this.#answer = composeAnswer(request.messages, request.max_tokens, salt);
    this.tokens = request.continue_text.split(" ").length - 1;
  }

  /** Tokens of the complete answer, with the text that the request continues. */
  get totalTokens(): number {
    return this.request.max_tokens;
  }

  /** Generates one token, or processes one part of the prompt. */
  step(now: number): void {
    if (this.prefillSteps > 0) {
      this.prefillSteps--;
      return;
    }
    // The text that the request continues may already be complete.
    if (this.tokens < this.totalTokens) {
      this.text += composeWord(this.#seed, this.tokens);
      this.tokens++;
    }
    if (this.tokens >= this.totalTokens) {
      this.finished = true;
      this.endedAt = now;
    }
    this.onProgress?.();
  }

  /** Complete answer, which is added to the cache at the end. */
  get answer(): string {
    return this.#answer;
  }

  /** Completion tokens so far, as usage reports them. */
  get completionTokens(): number {
    return this.tokens;
  }
}

/** Estimates the number of tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / BYTES_PER_TOKEN);
}

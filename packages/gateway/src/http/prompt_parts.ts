/** The parts of a prompt as a header lists them. */

import type { PromptPart } from "../upstreams/prompt_memory.ts";

const PART_PATTERN = /^([^:\s]{1,64}):(\d{1,9})$/;

/**
 * Reads parts as ID:TOKENS with commas between. Reading ends at a part that is
 * none, since what follows it cannot be told from another prompt.
 *
 * @example
 * ```ts
 * parsePromptParts("5c1e:800,91bd:410"); // two parts, 800 and 410 tokens
 * ```
 */
export function parsePromptParts(text: string): readonly PromptPart[] {
  const parts: PromptPart[] = [];
  for (const word of text.split(",")) {
    const found = PART_PATTERN.exec(word.trim());
    if (found === null) break;
    parts.push({ id: found[1] ?? "", tokens: Number(found[2]) });
  }
  return parts;
}

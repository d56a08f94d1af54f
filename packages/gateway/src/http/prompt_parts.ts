/** Parses the header that lists the parts of a prompt. */

import type { PromptPart } from "../upstreams/prompt_memory.ts";

const PART_PATTERN = /^([^:\s]{1,64}):(\d{1,9})$/;

/**
 * Parses parts of the form ID:TOKENS, separated by commas. Parsing stops at the
 * first invalid part, since the parts after it only identify a prompt together
 * with all parts before them.
 *
 * @example
 * ```ts
 * parsePromptParts("5c1e:800,91bd:410"); // two parts, 800 and 410 tokens
 * ```
 */
export function parsePromptParts(text: string): readonly PromptPart[] {
  const parts: PromptPart[] = [];
  for (const item of text.split(",")) {
    const match = PART_PATTERN.exec(item.trim());
    if (match === null) break;
    parts.push({ id: match[1] ?? "", tokens: Number(match[2]) });
  }
  return parts;
}

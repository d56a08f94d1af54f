/** Digests of content and of histories. */

import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Returns the SHA-256 of a text as lowercase hexadecimal.
 *
 * @example
 * ```ts
 * hashText("abc").slice(0, 8); // "ba7816bf"
 * ```
 */
export function hashText(text: string): string {
  return createHash("sha256").update(text, "utf8").digest("hex");
}

/** Returns the SHA-256 of bytes as lowercase hexadecimal. */
export function hashBytes(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}

/**
 * Serializes a JSON value with sorted keys, so that equal values give equal
 * text.
 */
export function serializeStable(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (inner === null || typeof inner !== "object") return inner;
    if (Array.isArray(inner)) return inner as unknown[];
    const entries = Object.entries(inner);
    entries.sort((left, right) => left[0] < right[0] ? -1 : 1);
    return Object.fromEntries(entries);
  }) ?? "null";
}

/** Digest of an empty history. */
export const EMPTY_HISTORY_DIGEST = hashText("");

/**
 * Extends the digest of a history by one turn. The digest after turn N depends
 * on all turns up to N and their order, so that a caller can verify the history.
 *
 * @example
 * ```ts
 * let digest = EMPTY_HISTORY_DIGEST;
 * digest = extendDigest(digest, { sent: messages, answer: "Recorded" });
 * ```
 */
export function extendDigest(digest: string, turn: unknown): string {
  return hashText(`${digest}\n${serializeStable(turn)}`);
}

/** Compares two texts in time that is independent of where they differ. */
export function equalsInConstantTime(left: string, right: string): boolean {
  const leftDigest = createHash("sha256").update(left).digest();
  const rightDigest = createHash("sha256").update(right).digest();
  return timingSafeEqual(leftDigest, rightDigest);
}

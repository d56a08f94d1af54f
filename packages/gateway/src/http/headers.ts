/** Header lists as they stand on the wire: names and values by turns. */

import type { RawHeaders } from "../dialect.ts";

/** Headers that concern one connection only, and those that frame a body. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** The first value of a header, by its name in lower case. */
export function findHeader(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

/**
 * Drops headers that concern one connection only, those that the connection
 * header names, and some more.
 *
 * @example
 * ```ts
 * dropHopHeaders(["Host", "a", "Connection", "close"]); // ["Host", "a"]
 * ```
 */
export function dropHopHeaders(
  headers: RawHeaders,
  more: ReadonlySet<string> = new Set(),
): string[] {
  const named = new Set<string>();
  const connection = findHeader(headers, "connection") ?? "";
  for (const word of connection.split(",")) {
    named.add(word.trim().toLowerCase());
  }
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? "";
    const lower = name.toLowerCase();
    if (HOP_HEADERS.has(lower) || named.has(lower) || more.has(lower)) continue;
    kept.push(name, headers[index + 1] ?? "");
  }
  return kept;
}

/** Functions on raw header lists, in which names and values alternate. */

import type { RawHeaders } from "../dialect.ts";

/** Hop-by-hop headers and headers that frame a body. */
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

/** Returns the first value of a header; the name must be in lower case. */
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
 * Removes hop-by-hop headers, the headers that the Connection header names, and
 * the headers in `more`, whose names must be in lower case.
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
  for (const token of connection.split(",")) {
    named.add(token.trim().toLowerCase());
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

/** Reads a caller's bearer key from its headers. */

import type { RawHeaders } from "../dialect.ts";

/** Name of the header that carries a key, in lower case. */
export const KEY_HEADER = "authorization";

const BEARER = /^Bearer +([^\s]+)$/i;

/**
 * The caller's key, or undefined if the headers do not carry exactly one. A
 * repeated header is rejected, because a reader of the first value and a reader
 * of the last could assign the caller to different workspaces.
 *
 * @example
 * ```ts
 * readBearerKey(["Authorization", "Bearer k1"]); // "k1"
 * readBearerKey(["Authorization", "Basic k1"]); // undefined
 * ```
 */
export function readBearerKey(headers: RawHeaders): string | undefined {
  let key: string | undefined;
  let count = 0;
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== KEY_HEADER) continue;
    count++;
    key = BEARER.exec(headers[index + 1] ?? "")?.[1];
  }
  return count === 1 ? key : undefined;
}

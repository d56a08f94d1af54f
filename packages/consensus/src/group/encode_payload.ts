/** Encodes what stays in memory with the log. */

import { Buffer } from "node:buffer";
import { encode } from "cbor-x";

/**
 * Encodes a command into memory of its own. The encoder writes into large
 * blocks that messages share; a payload that stays for minutes would keep its
 * whole block, many times its own size.
 *
 * @example
 * ```ts
 * const payload = encodePayload({ kind: "read" });
 * ```
 */
export function encodePayload(command: unknown): Buffer {
  const encoded = encode(command);
  const payload = Buffer.allocUnsafeSlow(encoded.length);
  payload.set(encoded);
  return payload;
}

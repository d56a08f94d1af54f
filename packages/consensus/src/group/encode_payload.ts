/** Encodes commands as entry payloads, which stay in memory with the log. */

import { Buffer } from "node:buffer";
import { encode } from "cbor-x";

/**
 * Encodes a command into a buffer of its own. The encoder writes into large
 * blocks that several messages share. A payload stays in memory for minutes and
 * would keep its whole block alive, many times its own size.
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

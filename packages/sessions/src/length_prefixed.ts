/** Length-prefixed values in sequence, which can be decoded one at a time. */

import { Buffer } from "node:buffer";
import { decode, encode } from "cbor-x";

/** Size of the length prefix, bytes. */
const LENGTH_BYTES = 4;
/** Highest bit of the length prefix, which marks a value. */
export const MARK_BIT = 0x80000000;

/**
 * Encodes a value with a length prefix.
 *
 * @param mark {@linkcode MARK_BIT} to set the mark, 0 to leave it
 */
export function encodePrefixed(value: unknown, mark = 0): Buffer {
  const encoded = encode(value);
  const sized = Buffer.allocUnsafe(LENGTH_BYTES + encoded.length);
  sized.writeUInt32BE(mark + encoded.length, 0);
  sized.set(encoded, LENGTH_BYTES);
  return sized;
}

/** Splits a list into batches that are encoded and decoded one at a time. */
export function splitBatches<T>(
  values: readonly T[],
  batchSize: number,
): readonly (readonly T[])[] {
  const batches: (readonly T[])[] = [];
  for (let start = 0; start < values.length; start += batchSize) {
    batches.push(values.slice(start, start + batchSize));
  }
  return batches;
}

/**
 * Reads values written by {@linkcode encodePrefixed} in the same order.
 *
 * @example
 * ```ts
 * const reader = new PrefixedReader(encodePrefixed({ a: 1 }));
 * reader.readValue(); // { a: 1 }
 * ```
 */
export class PrefixedReader {
  readonly #bytes: Buffer;
  #offset = 0;

  constructor(bytes: Uint8Array) {
    this.#bytes = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  }

  /** True if the next value is marked. */
  get isMarked(): boolean {
    return this.#bytes.readUInt32BE(this.#offset) >= MARK_BIT;
  }

  /** Reads the next value, marked or not. */
  readValue(): unknown {
    const length = this.#bytes.readUInt32BE(this.#offset) % MARK_BIT;
    this.#offset += LENGTH_BYTES;
    return decode(this.readBytes(length));
  }

  /** Reads the next bytes without decoding them. */
  readBytes(length: number): Buffer {
    return this.#bytes.subarray(this.#offset, this.#offset += length);
  }
}

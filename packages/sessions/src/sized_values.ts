/** Values one after the other, each behind its length, so that they need not be read at once. */

import { Buffer } from "node:buffer";
import { decode, encode } from "cbor-x";

/** Bytes of the number that tells how long a value is. */
const LENGTH_BYTES = 4;
/** A length leaves the highest bit free, for whoever wants to mark a value. */
export const LENGTH_MARK = 0x80000000;

/**
 * Encodes a value behind its length.
 *
 * @param mark {@linkcode LENGTH_MARK} to set the mark, 0 to leave it
 */
export function encodeSized(value: unknown, mark = 0): Buffer {
  const encoded = encode(value);
  const sized = Buffer.allocUnsafe(LENGTH_BYTES + encoded.length);
  sized.writeUInt32BE(mark + encoded.length, 0);
  sized.set(encoded, LENGTH_BYTES);
  return sized;
}

/** Cuts a list into batches that are encoded and decoded one at a time. */
export function cutBatches<T>(
  values: readonly T[],
  most: number,
): readonly (readonly T[])[] {
  const batches: (readonly T[])[] = [];
  for (let start = 0; start < values.length; start += most) {
    batches.push(values.slice(start, start + most));
  }
  return batches;
}

/**
 * Reads what {@linkcode encodeSized} has written, in the same order.
 *
 * @example
 * ```ts
 * const reader = new SizedReader(encodeSized({ a: 1 }));
 * reader.takeValue(); // { a: 1 }
 * ```
 */
export class SizedReader {
  readonly #bytes: Buffer;
  #offset = 0;

  constructor(bytes: Uint8Array) {
    this.#bytes = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  }

  /** True if the next value is marked. */
  get isMarked(): boolean {
    return this.#bytes.readUInt32BE(this.#offset) >= LENGTH_MARK;
  }

  /** The next value, marked or not. */
  takeValue(): unknown {
    const length = this.#bytes.readUInt32BE(this.#offset) % LENGTH_MARK;
    this.#offset += LENGTH_BYTES;
    return decode(this.take(length));
  }

  /** The next bytes as they are. */
  take(length: number): Buffer {
    return this.#bytes.subarray(this.#offset, this.#offset += length);
  }
}

/** Collects bytes that arrive in parts of any size. */

import { Buffer } from "node:buffer";

const MIN_CAPACITY_BYTES = 256;

/**
 * Copies all parts into one buffer. Slices of the received buffers would keep
 * far more memory than their length if an upstream sends single bytes.
 *
 * @example
 * ```ts
 * const collector = new ByteCollector();
 * collector.push(Buffer.from("ab"));
 * collector.push(Buffer.from("c"));
 * collector.bytes.toString(); // "abc"
 * ```
 */
export class ByteCollector {
  #buffer: Buffer = Buffer.alloc(0);
  #length = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.#length;
  }

  /** The collected bytes; valid until the next change. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** The memory that it takes once this many more bytes are added. */
  findCapacity(addedBytes: number): number {
    const length = this.#length + addedBytes;
    const { length: capacity } = this.#buffer;
    if (length <= capacity) return capacity;
    return Math.max(MIN_CAPACITY_BYTES, length, 2 * capacity);
  }

  /** Makes room for this many bytes in all, so that adding them copies nothing else. */
  reserve(bytes: number): void {
    if (bytes > this.#buffer.length) this.#grow(bytes);
  }

  /** Adds a copy of the bytes. */
  push(bytes: Buffer): void {
    const capacity = this.findCapacity(bytes.length);
    if (capacity > this.#buffer.length) this.#grow(capacity);
    bytes.copy(this.#buffer, this.#length);
    this.#length += bytes.length;
  }

  /** Releases the collected bytes. */
  clear(): void {
    this.#buffer = Buffer.alloc(0);
    this.#length = 0;
  }

  #grow(capacity: number): void {
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(grown, 0, 0, this.#length);
    this.#buffer = grown;
  }
}

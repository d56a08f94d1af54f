/** Compact summaries of a directory: the key and the age of each record, in 8 bytes. */

import { Buffer } from "node:buffer";
import { hashText } from "@mallowlift/core";

/**
 * Size of a record's key, bytes. Among 1,000 records, the probability that any
 * two share a key is 2 in a billion.
 */
const KEY_BYTES = 6;
const AGE_BYTES = 2;
const ENTRY_BYTES = KEY_BYTES + AGE_BYTES;
/**
 * Unit of an age, ms. Ages are rounded up: if they were rounded down, the age of
 * a daemon that has left would shrink with each daemon that passes it on.
 */
const AGE_UNIT_MILLISECONDS = 10;
const MAX_AGE_UNITS = 0xffff;
const KEY_DIGITS = 2 * KEY_BYTES;

/** Entry of one daemon in a summary. */
export interface SummaryEntry {
  /** Key of the record's content, from {@linkcode computeRecordKey}. */
  readonly key: number;
  readonly ageMilliseconds: number;
}

/**
 * Computes the key of a record: a hash of its name, boot id and address.
 *
 * @example
 * ```ts
 * computeRecordKey({ name: "gateway-1", bootId: "b", address: "10.0.0.1:7000" });
 * ```
 */
export function computeRecordKey(record: {
  readonly name: string;
  readonly bootId: string;
  readonly address: string;
}): number {
  const text = `${record.name}\n${record.bootId}\n${record.address}`;
  return Number.parseInt(hashText(text).slice(0, KEY_DIGITS), 16);
}

/** Packs entries into a summary; see {@linkcode readSummary}. */
export function packSummary(entries: readonly SummaryEntry[]): Buffer {
  const bytes = Buffer.alloc(entries.length * ENTRY_BYTES);
  for (const [index, { key, ageMilliseconds }] of entries.entries()) {
    const offset = index * ENTRY_BYTES;
    const units = Math.ceil(ageMilliseconds / AGE_UNIT_MILLISECONDS);
    bytes.writeUIntBE(key, offset, KEY_BYTES);
    bytes.writeUInt16BE(Math.min(units, MAX_AGE_UNITS), offset + KEY_BYTES);
  }
  return bytes;
}

/** Reads the entries that {@linkcode packSummary} packed; omits an incomplete last entry. */
export function readSummary(packed: Uint8Array): readonly SummaryEntry[] {
  const bytes = Buffer.from(packed.buffer, packed.byteOffset, packed.length);
  const entries: SummaryEntry[] = [];
  for (let end = ENTRY_BYTES; end <= bytes.length; end += ENTRY_BYTES) {
    const offset = end - ENTRY_BYTES;
    const units = bytes.readUInt16BE(offset + KEY_BYTES);
    entries.push({
      key: bytes.readUIntBE(offset, KEY_BYTES),
      ageMilliseconds: units * AGE_UNIT_MILLISECONDS,
    });
  }
  return entries;
}

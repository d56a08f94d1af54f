/** What a directory knows, in a few bytes a daemon. */

import { Buffer } from "node:buffer";
import { hashText } from "@mallowlift/core";

/** Bytes of the key of a record: two records of 1,000 share one by a chance of 2 in a thousand million. */
const KEY_BYTES = 6;
const AGE_BYTES = 2;
const ENTRY_BYTES = KEY_BYTES + AGE_BYTES;
/**
 * Unit of an age, ms. Ages are rounded up: rounded down, a daemon that is gone
 * would grow younger with each daemon that passes it on.
 */
const AGE_UNIT_MILLISECONDS = 10;
const MOST_AGE_UNITS = 0xffff;
const KEY_DIGITS = 2 * KEY_BYTES;

/** One daemon in a summary. */
export interface SummaryEntry {
  /** Stands for the content of a record, as {@linkcode findKey} gives it. */
  readonly key: number;
  readonly ageMilliseconds: number;
}

/**
 * A number for the content of a record.
 *
 * @example
 * ```ts
 * findKey({ name: "gateway-1", bootId: "b", address: "10.0.0.1:7000" });
 * ```
 */
export function findKey(record: {
  readonly name: string;
  readonly bootId: string;
  readonly address: string;
}): number {
  const text = `${record.name}\n${record.bootId}\n${record.address}`;
  return Number.parseInt(hashText(text).slice(0, KEY_DIGITS), 16);
}

/** Packs entries; see {@linkcode readSummary}. */
export function packSummary(entries: readonly SummaryEntry[]): Buffer {
  const bytes = Buffer.alloc(entries.length * ENTRY_BYTES);
  for (const [index, { key, ageMilliseconds }] of entries.entries()) {
    const offset = index * ENTRY_BYTES;
    const units = Math.ceil(ageMilliseconds / AGE_UNIT_MILLISECONDS);
    bytes.writeUIntBE(key, offset, KEY_BYTES);
    bytes.writeUInt16BE(Math.min(units, MOST_AGE_UNITS), offset + KEY_BYTES);
  }
  return bytes;
}

/** Reads what {@linkcode packSummary} has packed; a torn last entry is left out. */
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

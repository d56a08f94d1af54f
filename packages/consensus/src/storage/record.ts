/** Encoding of records on disk: magic number, length, checksum, CBOR payload. */

import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";
import { decode, encode } from "cbor-x";

const MAGIC = 0x4d4c4654;
const HEADER_BYTES = 12;
const MAX_RECORD_BYTES = 1_073_741_824;

/** A record that was read from a file. */
export interface DecodedRecord {
  readonly value: unknown;
  /** Offset of the byte after the record. */
  readonly end: number;
}

/** Encodes one record. */
export function encodeRecord(value: unknown): Buffer {
  const payload = encode(value);
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  record.writeUInt32BE(MAGIC, 0);
  record.writeUInt32BE(payload.length, 4);
  record.writeUInt32BE(crc32(payload), 8);
  record.set(payload, HEADER_BYTES);
  return record;
}

/** Reads the record at an offset; undefined if there is no complete, valid record. */
export function readRecord(
  file: Buffer,
  offset: number,
): DecodedRecord | undefined {
  if (offset + HEADER_BYTES > file.length) return undefined;
  if (file.readUInt32BE(offset) !== MAGIC) return undefined;
  const length = file.readUInt32BE(offset + 4);
  const end = offset + HEADER_BYTES + length;
  if (length > MAX_RECORD_BYTES || end > file.length) return undefined;
  const payload = file.subarray(offset + HEADER_BYTES, end);
  if (crc32(payload) !== file.readUInt32BE(offset + 8)) return undefined;
  try {
    return { value: decode(payload), end };
  } catch {
    return undefined;
  }
}

/** Result of scanning a file for records. */
export interface ScannedFile {
  readonly values: readonly unknown[];
  /** Offset of the byte after the last record that was read. */
  readonly end: number;
  /** True if a complete record follows invalid bytes, so that they are not a torn tail. */
  readonly isCorrupted: boolean;
}

/**
 * Reads the records of a file from its start up to the first that is incomplete
 * or invalid.
 *
 * @example
 * ```ts
 * const scanned = scanRecords(readFileSync(path));
 * if (scanned.isCorrupted) throw new Error("Log is corrupted");
 * truncateSync(path, scanned.end);
 * ```
 */
export function scanRecords(file: Buffer): ScannedFile {
  const values: unknown[] = [];
  let end = 0;
  let found = readRecord(file, end);
  while (found !== undefined) {
    values.push(found.value);
    end = found.end;
    found = readRecord(file, end);
  }
  return { values, end, isCorrupted: hasRecordAfter(file, end) };
}

function hasRecordAfter(file: Buffer, offset: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32BE(MAGIC, 0);
  let next = file.indexOf(magic, offset);
  while (next !== -1) {
    if (readRecord(file, next) !== undefined) return true;
    next = file.indexOf(magic, next + 1);
  }
  return false;
}

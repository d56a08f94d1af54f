/**
 * Transfers documents between a gateway and the leader in parts. A document can
 * take seconds over the slow link of a small gateway. As one message it would
 * block all turns behind it on the same connection, and would be discarded and
 * sent again on each timeout. A part takes no longer than a turn may, and the
 * parts that have arrived are kept.
 */

import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import {
  computeMessageBytes,
  type DocumentAck,
  type DocumentForm,
  type DocumentPart,
  fail,
  hashBytes,
  MIN_MESSAGE_BYTES,
  type Outcome,
  type PackedDocument,
  RESULT_CODES,
  sleep,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { SiteClient } from "./site_client.ts";

/**
 * Timeout of sending a part, ms: the operator's tool retries after a second.
 */
const PUT_TIMEOUT_MILLISECONDS = 900;
/**
 * Timeout of reading a part, ms. The smallest part takes this long at 16 kB/s,
 * a hundredth of the bandwidth of the slowest link of a gateway.
 */
const READ_TIMEOUT_MILLISECONDS = 1_000;
/** Delay before a part is requested again, ms: several round trips. */
const RETRY_MILLISECONDS = 30;
/** Number of consecutive answers without progress after which sending fails. */
const MAX_STALLED_ANSWERS = 5;

/**
 * Sends a document to the leader until it, or a newer one, is in force. Fails
 * with `OVERLOADED` if the leader keeps no more parts, or as the call fails.
 */
export async function sendDocument(
  client: Pick<SiteClient, "call">,
  document: PackedDocument,
): Promise<Outcome<DocumentAck>> {
  const { version, bytes, routingBytes } = document;
  const digest = hashBytes(bytes);
  const totalBytes = bytes.length;
  let size = MIN_MESSAGE_BYTES;
  let heldBytes = 0;
  for (let stalledAnswers = 0; stalledAnswers < MAX_STALLED_ANSWERS;) {
    const part = bytes.subarray(heldBytes, heldBytes + size);
    const sentAt = performance.now();
    const reply = await client.call("document.put", {
      version,
      digest,
      totalBytes,
      routingBytes,
      offset: heldBytes,
      part,
    }, PUT_TIMEOUT_MILLISECONDS);
    if (reply.err) return reply;
    if (reply.val.version >= version) return Ok({ version: reply.val.version });
    const milliseconds = performance.now() - sentAt;
    size = computeMessageBytes(size, { sent: part.length, milliseconds });
    stalledAnswers = reply.val.heldBytes > heldBytes ? 0 : stalledAnswers + 1;
    heldBytes = reply.val.heldBytes;
  }
  return fail(
    RESULT_CODES.OVERLOADED,
    "The leader receives too many documents at once",
  );
}

/** Options of {@linkcode readDocument}. */
export interface ReadDocumentOptions {
  readonly version: number;
  readonly form: DocumentForm;
  /** Returns true once the caller has given up. */
  readonly isCancelled: () => boolean;
}

/** One form of a document. */
export interface DocumentBytes {
  /** The requested version, or a newer one. */
  readonly version: number;
  readonly bytes: Uint8Array;
}

/**
 * Reads one form of a document; continues after failed calls and changes of the
 * leader. Returns undefined if it is cancelled first.
 */
export async function readDocument(
  client: Pick<SiteClient, "callLeader">,
  options: ReadDocumentOptions,
): Promise<DocumentBytes | undefined> {
  const partial = new PartialDocument(options.version);
  let mostBytes = MIN_MESSAGE_BYTES;
  while (!options.isCancelled()) {
    const { version, offset } = partial;
    const sentAt = performance.now();
    const reply = await client.callLeader(
      "document.read",
      { version, form: options.form, offset, mostBytes },
      READ_TIMEOUT_MILLISECONDS,
    );
    const milliseconds = performance.now() - sentAt;
    const sent = reply.ok ? reply.val.part.length : mostBytes;
    mostBytes = computeMessageBytes(mostBytes, { sent, milliseconds });
    // A leader that has been replaced may not have the version yet.
    if (reply.err || reply.val.version < version) {
      await sleep(RETRY_MILLISECONDS);
      continue;
    }
    partial.add(reply.val);
    if (partial.isWhole) return partial.join();
  }
  return undefined;
}

/** The parts of a document that have been read so far. */
class PartialDocument {
  #version: number;
  #parts: Uint8Array[] = [];
  #offset = 0;
  #totalBytes = Infinity;

  constructor(version: number) {
    this.#version = version;
  }

  /** Version that is being read. */
  get version(): number {
    return this.#version;
  }

  /** Offset of the next part, bytes. */
  get offset(): number {
    return this.#offset;
  }

  get isWhole(): boolean {
    return this.#offset >= this.#totalBytes;
  }

  /**
   * Adds the next part; a part of another version restarts the read with that
   * version.
   */
  add({ version, totalBytes, part }: DocumentPart): void {
    const isReplaced = version !== this.#version && this.#offset > 0;
    this.#version = version;
    if (isReplaced) {
      this.#parts = [];
      this.#offset = 0;
      return;
    }
    this.#parts.push(part);
    this.#offset += part.length;
    this.#totalBytes = totalBytes;
  }

  /** Returns the complete document. */
  join(): DocumentBytes {
    return { version: this.#version, bytes: Buffer.concat(this.#parts) };
  }
}

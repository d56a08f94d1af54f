/**
 * Carries documents between a gateway and the leader, part by part.
 *
 * The load it answers: a document that takes seconds on the way of a small
 * gateway. In one message it would hold up all turns behind it on the same
 * connection, and be thrown away and sent anew whenever it is late. A part
 * takes as long as one turn may, and what has arrived stays.
 */

import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import {
  type DocumentAck,
  type DocumentForm,
  type DocumentPart,
  fail,
  findMessageBytes,
  hashBytes,
  LEAST_MESSAGE_BYTES,
  type Outcome,
  type PackedDocument,
  RESULT_CODES,
  sleep,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { SiteClient } from "./site_client.ts";

/** Longest wait for the answer to a part that is sent, ms: an operator's tool asks again after a second. */
const PUT_MILLISECONDS = 900;
/**
 * Longest wait for a part that is read, ms. The least part takes as long at
 * 16 kB a second, a hundredth of the narrowest way that a gateway has.
 */
const READ_MILLISECONDS = 1_000;
/** Pause after a part that did not come, ms: some round trips. */
const RETRY_MILLISECONDS = 30;
/** Answers without any progress after which sending is given up. */
const MOST_IDLE_ANSWERS = 5;

/** Sends a document to the leader until it, or a newer one, is in force. */
export async function sendDocument(
  client: Pick<SiteClient, "call">,
  document: PackedDocument,
): Promise<Outcome<DocumentAck>> {
  const { version, bytes, routingBytes } = document;
  const digest = hashBytes(bytes);
  const totalBytes = bytes.length;
  let size = LEAST_MESSAGE_BYTES;
  let held = 0;
  for (let idle = 0; idle < MOST_IDLE_ANSWERS;) {
    const part = bytes.subarray(held, held + size);
    const sentAt = performance.now();
    const reply = await client.call("document.put", {
      version,
      digest,
      totalBytes,
      routingBytes,
      offset: held,
      part,
    }, PUT_MILLISECONDS);
    if (reply.err) return reply;
    if (reply.val.version >= version) return Ok({ version: reply.val.version });
    const milliseconds = performance.now() - sentAt;
    size = findMessageBytes(size, { sent: part.length, milliseconds });
    idle = reply.val.heldBytes > held ? 0 : idle + 1;
    held = reply.val.heldBytes;
  }
  return fail(RESULT_CODES.OVERLOADED, "Too many documents come in at once");
}

/** What to read. */
export interface ReadPlan {
  readonly version: number;
  readonly form: DocumentForm;
  /** True once nobody waits for it any more. */
  readonly isOver: () => boolean;
}

/** One form of a document. */
export interface DocumentBytes {
  /** The version asked for, or a newer one. */
  readonly version: number;
  readonly bytes: Uint8Array;
}

/** Reads one form of a document, however many leaders it takes; undefined if it is over before. */
export async function readDocument(
  client: Pick<SiteClient, "callLeader">,
  plan: ReadPlan,
): Promise<DocumentBytes | undefined> {
  const reading = new DocumentReading(plan.version);
  let mostBytes = LEAST_MESSAGE_BYTES;
  while (!plan.isOver()) {
    const { version, offset } = reading;
    const sentAt = performance.now();
    const reply = await client.callLeader(
      "document.read",
      { version, form: plan.form, offset, mostBytes },
      READ_MILLISECONDS,
    );
    const milliseconds = performance.now() - sentAt;
    const sent = reply.ok ? reply.val.part.length : mostBytes;
    mostBytes = findMessageBytes(mostBytes, { sent, milliseconds });
    // A leader that has been replaced may not know of the version yet.
    if (reply.err || reply.val.version < version) {
      await sleep(RETRY_MILLISECONDS);
      continue;
    }
    reading.take(reply.val);
    if (reading.isWhole) return reading.join();
  }
  return undefined;
}

/** What has been read of a document so far. */
class DocumentReading {
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

  /** Where the next part begins. */
  get offset(): number {
    return this.#offset;
  }

  get isWhole(): boolean {
    return this.#offset >= this.#totalBytes;
  }

  /** Takes the next part; one of a newer version begins that one anew. */
  take({ version, totalBytes, part }: DocumentPart): void {
    const isInside = version !== this.#version && this.#offset > 0;
    this.#version = version;
    if (isInside) {
      this.#parts = [];
      this.#offset = 0;
      return;
    }
    this.#parts.push(part);
    this.#offset += part.length;
    this.#totalBytes = totalBytes;
  }

  /** All that has been read. */
  join(): DocumentBytes {
    return { version: this.#version, bytes: Buffer.concat(this.#parts) };
  }
}

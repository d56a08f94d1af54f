/**
 * Documents that come in part by part. Nothing here needs a network.
 *
 * The load it answers: a document that takes longer on a narrow way than one
 * answer may. Each part is decided by itself, so that a sender that was cut
 * short, another one with the same document, and the next leader go on where
 * the last part ended.
 */

import { Buffer } from "node:buffer";
import type { PackedDocument, PutDocumentPart } from "@mallowlift/core";

/**
 * Bytes of unfinished documents that are kept in all; the one that grows is
 * kept in any case. The largest document that the settings allow by default.
 */
const MOST_BYTES = 16_777_216;
/** Unfinished documents that are kept: as many changes as an operator's tool sends at once. */
const MOST_UPLOADS = 8;

/** A document that has come in in part, as it is kept. */
export interface StoredUpload extends Omit<PutDocumentPart, "part" | "offset"> {
  readonly parts: readonly Uint8Array[];
}

interface Upload extends Omit<StoredUpload, "parts"> {
  readonly parts: Uint8Array[];
  heldBytes: number;
}

/** Driven by the log; the same at every store once the same parts are applied. */
export class DocumentUploads {
  readonly #uploads = new Map<string, Upload>();

  /** Bytes that have come in of a document; 0 if none are kept. */
  findHeldBytes(digest: string): number {
    return this.#uploads.get(digest)?.heldBytes ?? 0;
  }

  /** Adds a part where the last one ended; returns the document once it is whole. */
  add(request: PutDocumentPart): PackedDocument | undefined {
    const { offset, part, ...rest } = request;
    if (offset !== this.findHeldBytes(rest.digest)) return undefined;
    const upload = this.#uploads.get(rest.digest) ??
      { ...rest, parts: [], heldBytes: 0 };
    this.#uploads.set(rest.digest, upload);
    upload.parts.push(part);
    upload.heldBytes += part.length;
    this.#dropSurplus(upload);
    if (upload.heldBytes < upload.totalBytes) return undefined;
    const { version, routingBytes, parts } = upload;
    return { version, routingBytes, bytes: Buffer.concat(parts) };
  }

  /** Drops what a newer document has made superfluous. */
  dropUntil(version: number): void {
    for (const [digest, upload] of this.#uploads) {
      if (upload.version <= version) this.#uploads.delete(digest);
    }
  }

  /** Everything, for a snapshot. */
  store(): readonly StoredUpload[] {
    return [...this.#uploads.values()].map(({ heldBytes: _, ...rest }) => ({
      ...rest,
      parts: [...rest.parts],
    }));
  }

  /** Replaces everything by what {@linkcode DocumentUploads.store} gave. */
  restore(stored: readonly StoredUpload[]): void {
    this.#uploads.clear();
    for (const { parts, ...rest } of stored) {
      const heldBytes = sumBytes(parts);
      const upload = { ...rest, parts: [...parts], heldBytes };
      this.#uploads.set(rest.digest, upload);
    }
  }

  /** The lowest version goes first: it is the first to be overtaken. */
  #dropSurplus(growing: Upload): void {
    const others = [...this.#uploads.values()].filter((upload) =>
      upload !== growing
    );
    others.sort((left, right) => left.version - right.version);
    let bytes = growing.heldBytes;
    for (const upload of others) bytes += upload.heldBytes;
    let count = others.length + 1;
    for (const upload of others) {
      if (count <= MOST_UPLOADS && bytes <= MOST_BYTES) return;
      this.#uploads.delete(upload.digest);
      count--;
      bytes -= upload.heldBytes;
    }
  }
}

function sumBytes(parts: readonly Uint8Array[]): number {
  return parts.reduce((sum, part) => sum + part.length, 0);
}

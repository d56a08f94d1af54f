/**
 * Collects routing documents that are uploaded in parts, since a document may
 * take longer than the timeout of one request on a slow link. Each part is
 * committed separately, so that an interrupted sender, another sender of the
 * same document, or a new leader resumes after the last committed part.
 */

import { Buffer } from "node:buffer";
import type { PackedDocument, PutDocumentPart } from "@mallowlift/core";

/**
 * Maximum bytes of all unfinished uploads; the growing one is kept in any
 * case. Equals the largest document that the settings allow by default.
 */
const MAX_BYTES = 16_777_216;
/** Maximum number of unfinished uploads: as many as an operator's tool sends at once. */
const MAX_UPLOADS = 8;

/** An unfinished upload as it is stored in a snapshot. */
export interface StoredUpload extends Omit<PutDocumentPart, "part" | "offset"> {
  readonly parts: readonly Uint8Array[];
}

interface Upload extends Omit<StoredUpload, "parts"> {
  readonly parts: Uint8Array[];
  heldBytes: number;
}

/** The unfinished uploads; deterministic, so all stores that apply the same parts agree. */
export class DocumentUploads {
  readonly #uploads = new Map<string, Upload>();

  /** Returns the bytes received of a document; 0 if there is no upload of it. */
  findHeldBytes(digest: string): number {
    return this.#uploads.get(digest)?.heldBytes ?? 0;
  }

  /**
   * Adds a part that begins where the last one ended, and ignores any other.
   *
   * @returns the document once it is complete
   */
  add(request: PutDocumentPart): PackedDocument | undefined {
    const { offset, part, ...rest } = request;
    if (offset !== this.findHeldBytes(rest.digest)) return undefined;
    const upload = this.#uploads.get(rest.digest) ??
      { ...rest, parts: [], heldBytes: 0 };
    this.#uploads.set(rest.digest, upload);
    upload.parts.push(part);
    upload.heldBytes += part.length;
    this.#evictExcess(upload);
    if (upload.heldBytes < upload.totalBytes) return undefined;
    const { version, routingBytes, parts } = upload;
    return { version, routingBytes, bytes: Buffer.concat(parts) };
  }

  /** Drops the uploads up to a version, which a document in force has superseded. */
  dropSuperseded(version: number): void {
    for (const [digest, upload] of this.#uploads) {
      if (upload.version <= version) this.#uploads.delete(digest);
    }
  }

  /** Returns all unfinished uploads for a snapshot. */
  store(): readonly StoredUpload[] {
    return [...this.#uploads.values()].map(({ heldBytes: _, ...rest }) => ({
      ...rest,
      parts: [...rest.parts],
    }));
  }

  /** Replaces all uploads by the result of {@linkcode DocumentUploads.store}. */
  restore(stored: readonly StoredUpload[]): void {
    this.#uploads.clear();
    for (const { parts, ...rest } of stored) {
      const heldBytes = sumBytes(parts);
      const upload = { ...rest, parts: [...parts], heldBytes };
      this.#uploads.set(rest.digest, upload);
    }
  }

  /** Evicts the lowest versions first, since they are superseded first. */
  #evictExcess(growing: Upload): void {
    const others = [...this.#uploads.values()].filter((upload) =>
      upload !== growing
    );
    others.sort((left, right) => left.version - right.version);
    let bytes = growing.heldBytes;
    for (const upload of others) bytes += upload.heldBytes;
    let count = others.length + 1;
    for (const upload of others) {
      if (count <= MAX_UPLOADS && bytes <= MAX_BYTES) return;
      this.#uploads.delete(upload.digest);
      count--;
      bytes -= upload.heldBytes;
    }
  }
}

function sumBytes(parts: readonly Uint8Array[]): number {
  return parts.reduce((sum, part) => sum + part.length, 0);
}

/** Receives and serves routing documents part by part while this store leads. */

import {
  type DocumentPart,
  type DocumentProgress,
  type Logger,
  type NewestDocument,
  type Outcome,
  type PackedDocument,
  type PutDocumentPart,
  type ReadDocumentPart,
} from "@mallowlift/core";
import { findForm, type SiteState } from "@mallowlift/sessions";
import { Ok } from "ts-results";
import type { ProposeCommand } from "./propose_command.ts";

/** Returned while the site has no document yet. */
const NO_DOCUMENT: PackedDocument = {
  version: -1,
  routingBytes: 0,
  bytes: new Uint8Array(),
};

/** Dependencies of a {@linkcode DocumentOwner}. */
export interface DocumentOwnerOptions {
  readonly state: SiteState;
  readonly propose: ProposeCommand;
  readonly logger: Logger;
}

/** Accepts uploads of routing documents and serves their content to gateways. */
export class DocumentOwner {
  readonly #options: DocumentOwnerOptions;

  constructor(options: DocumentOwnerOptions) {
    this.#options = options;
  }

  /** Adds a part of a document; the last part puts the document in force. */
  async putPart(
    request: PutDocumentPart,
    signal: AbortSignal,
  ): Promise<Outcome<DocumentProgress>> {
    const { state, propose, logger } = this.#options;
    const before = state.documentVersion;
    const result = await propose({ kind: "documentPart", ...request }, signal);
    if (result.err) return result;
    const version = state.documentVersion;
    if (version !== before) {
      logger.info("Document replaced", {
        asked: request.version,
        in_force: version,
        bytes: request.totalBytes,
      });
    }
    return Ok({ version, heldBytes: state.findHeldBytes(request.digest) });
  }

  /** Returns a part of a document; the content of a version never changes. */
  readPart(request: ReadDocumentPart): DocumentPart {
    const { version, form, offset, mostBytes } = request;
    const document = this.#options.state.findDocument(version) ?? NO_DOCUMENT;
    const bytes = findForm(document, form);
    return {
      version: document.version,
      totalBytes: bytes.length,
      part: bytes.subarray(offset, offset + mostBytes),
    };
  }

  /** Returns the newest version, confirmed by a quorum. */
  async findNewest(signal: AbortSignal): Promise<Outcome<NewestDocument>> {
    const { state, propose } = this.#options;
    const result = await propose({ kind: "read" }, signal);
    if (result.err) return result;
    return Ok({ version: state.documentVersion });
  }
}

/** Keeps the gateway's routes up to date with the newest routing document. */

import { performance } from "node:perf_hooks";
import {
  ABORTED,
  DOCUMENT_FORMS,
  type Logger,
  type RoutingDocument,
  sleep,
  toCodedError,
  WakeSignal,
} from "@mallowlift/core";
import { unpackRouting } from "@mallowlift/sessions";
import { RouteTable } from "../routing/route_table.ts";
import { type DocumentBytes, readDocument } from "./document_transfer.ts";
import type { SiteClient } from "./site_client.ts";

/**
 * Delay before a document that could not be unpacked is read again, ms: an
 * immediate retry rarely helps.
 */
const DAMAGED_RETRY_MILLISECONDS = 1_000;

/**
 * Reads each newer document that a leader announces; it never returns to an
 * older version.
 */
export class DocumentFollower {
  readonly #client: SiteClient;
  readonly #logger: Logger;
  readonly #stopped = new AbortController();
  readonly #changed = new WakeSignal();
  #routes: RouteTable | undefined;
  #announcedVersion = -1;
  #isReading = false;

  constructor(client: SiteClient, logger: Logger) {
    this.#client = client;
    this.#logger = logger;
  }

  /** The routes in force; undefined before the first document. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /** Version in force; -1 before the first document. */
  get version(): number {
    return this.#routes?.document.version ?? -1;
  }

  /** Newest version that a leader has announced; -1 before the first. */
  get announcedVersion(): number {
    return this.#announcedVersion;
  }

  /** True if a document is in force and no leader has announced a newer one. */
  get isNewest(): boolean {
    return this.#routes !== undefined && this.version >= this.#announcedVersion;
  }

  /** Signal that is raised when another document comes into force. */
  get changed(): WakeSignal {
    return this.#changed;
  }

  /**
   * Handles a version that a leader has announced, and reads it if it is newer.
   */
  announce(version: number): void {
    if (version <= this.#announcedVersion) return;
    this.#announcedVersion = version;
    if (!this.#isReading) void this.#readNewest();
  }

  /**
   * Applies a whole document from the reply of a leader of an earlier release.
   */
  receive(document: RoutingDocument): void {
    this.#putInForce(document);
  }

  /** Stops reading. */
  stop(): void {
    this.#stopped.abort(ABORTED);
  }

  async #readNewest(): Promise<void> {
    this.#isReading = true;
    while (!this.#stopped.signal.aborted && !this.isNewest) {
      const startedAt = performance.now();
      const read = await readDocument(this.#client, {
        version: this.#announcedVersion,
        form: DOCUMENT_FORMS.ROUTING,
        isCancelled: () => this.#stopped.signal.aborted,
      });
      if (read !== undefined) await this.#unpack(read, startedAt);
    }
    this.#isReading = false;
  }

  async #unpack(read: DocumentBytes, startedAt: number): Promise<void> {
    const { version, bytes } = read;
    try {
      const document = await unpackRouting(bytes);
      this.#putInForce(document, {
        bytes: bytes.length,
        milliseconds: Math.round(performance.now() - startedAt),
      });
    } catch (thrown) {
      const { message } = toCodedError(thrown);
      this.#logger.error("Document could not be unpacked", {
        version,
        message,
      });
      await sleep(DAMAGED_RETRY_MILLISECONDS, this.#stopped.signal);
    }
  }

  #putInForce(document: RoutingDocument, read: object = {}): void {
    // A whole document from a leader's reply may be newer than the one that was
    // being read in parts.
    if (document.version <= this.version) return;
    this.#routes = new RouteTable(document);
    this.#changed.wake();
    const { version, routes } = document;
    const details = { version, routes: routes.length, ...read };
    this.#logger.info("Document in force", details);
  }
}

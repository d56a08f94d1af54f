/** Serves operators over HTTP in the format of a dialect. */

import { performance } from "node:perf_hooks";
import { Server } from "@hapi/hapi";
import {
  DOCUMENT_FORMS,
  type DocumentAck,
  type DocumentSource,
  fail,
  type OrderedServer,
  type Outcome,
  RESULT_CODES,
  type RetirementStatus,
  type RoutingDocument,
} from "@mallowlift/core";
import {
  checkDocument,
  packDocument,
  unpackSource,
} from "@mallowlift/sessions";
import { parseAddress } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { OperatorActions, OperatorDialect } from "../dialect.ts";
import { readDocument, sendDocument } from "../site/document_transfer.ts";
import type { SiteClient } from "../site/site_client.ts";

/**
 * Timeout of a call to the leader, ms: the operator's tool retries after a
 * second.
 */
const LEADER_TIMEOUT_MILLISECONDS = 900;
/** Timeout of reading a document, ms: far longer than the largest one takes. */
const READ_TIMEOUT_MILLISECONDS = 20_000;

/** Executes the actions of operators at the leader of the stores. */
export class SiteOperations implements OperatorActions {
  readonly maxDocumentBytes: number;
  readonly #client: SiteClient;

  constructor(client: SiteClient, maxDocumentBytes: number) {
    this.#client = client;
    this.maxDocumentBytes = maxDocumentBytes;
  }

  /** Checks the whole document and puts it in force. */
  async replace(
    document: RoutingDocument,
    source: Uint8Array,
  ): Promise<Outcome<DocumentAck>> {
    const checked = checkDocument(document);
    if (checked.err) return checked;
    return await sendDocument(
      this.#client,
      await packDocument(document, source),
    );
  }

  /** Reads the source of the newest document. */
  async read(): Promise<Outcome<DocumentSource>> {
    const newest = await this.#client.call(
      "document.newest",
      {},
      LEADER_TIMEOUT_MILLISECONDS,
    );
    if (newest.err) return newest;
    const { version } = newest.val;
    if (version < 0) return Ok({ version, source: new Uint8Array() });
    const deadline = performance.now() + READ_TIMEOUT_MILLISECONDS;
    const read = await readDocument(this.#client, {
      version,
      form: DOCUMENT_FORMS.SOURCE,
      isCancelled: () => performance.now() > deadline,
    });
    if (read === undefined) {
      return fail(RESULT_CODES.NO_LEADER, "Reading the document timed out");
    }
    const source = await unpackSource(read.bytes);
    return Ok({ version: read.version, source });
  }

  /** Starts to retire a store, so that it can be removed. */
  async retire(name: string): Promise<Outcome<unknown>> {
    return await this.#client.call(
      "site.retire",
      { name },
      LEADER_TIMEOUT_MILLISECONDS,
    );
  }

  /** Returns the progress of a store's retirement. */
  async describeRetirement(name: string): Promise<Outcome<RetirementStatus>> {
    return await this.#client.call(
      "site.retirement",
      { name },
      LEADER_TIMEOUT_MILLISECONDS,
    );
  }
}

/** Creates the HTTP server for operators. */
export function createOperatorServer(options: {
  readonly listen: string;
  readonly dialect: OperatorDialect;
  readonly actions: OperatorActions;
  /** Accepts the connections. */
  readonly listener: OrderedServer;
}): Server {
  const { host, port } = parseAddress(options.listen);
  const { listener } = options;
  const server = new Server({ host, port, listener, compression: false });
  options.dialect.addRoutes(server, options.actions);
  return server;
}

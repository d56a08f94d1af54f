/** Serves operators over HTTP, in the words of a dialect. */

import { performance } from "node:perf_hooks";
import { Server } from "@hapi/hapi";
import {
  DOCUMENT_FORMS,
  type DocumentAck,
  type DocumentSource,
  fail,
  type Outcome,
  RESULT_CODES,
  type RetireState,
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

/** Longest wait for a leader, ms: an operator's tool asks again after a second. */
const ORDER_MILLISECONDS = 900;
/** Longest time to read a document back, ms: far above what the largest takes. */
const READ_MILLISECONDS = 20_000;

/** Carries out orders at the leader of the stores. */
export class SiteOrders implements OperatorActions {
  readonly mostDocumentBytes: number;
  readonly #client: SiteClient;

  constructor(client: SiteClient, mostDocumentBytes: number) {
    this.#client = client;
    this.mostDocumentBytes = mostDocumentBytes;
  }

  /** Puts a document in force once it has been checked whole. */
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

  /** The newest document. */
  async read(): Promise<Outcome<DocumentSource>> {
    const newest = await this.#client.call(
      "document.newest",
      {},
      ORDER_MILLISECONDS,
    );
    if (newest.err) return newest;
    const { version } = newest.val;
    if (version < 0) return Ok({ version, source: new Uint8Array() });
    const until = performance.now() + READ_MILLISECONDS;
    const read = await readDocument(this.#client, {
      version,
      form: DOCUMENT_FORMS.SOURCE,
      isOver: () => performance.now() > until,
    });
    if (read === undefined) {
      return fail(RESULT_CODES.NO_LEADER, "The document could not be read");
    }
    const source = await unpackSource(read.bytes);
    return Ok({ version: read.version, source });
  }

  /** Starts to empty a store. */
  async retire(name: string): Promise<Outcome<unknown>> {
    return await this.#client.call("site.retire", { name }, ORDER_MILLISECONDS);
  }

  /** How far that is. */
  async describeRetirement(name: string): Promise<Outcome<RetireState>> {
    return await this.#client.call(
      "site.retirement",
      { name },
      ORDER_MILLISECONDS,
    );
  }
}

/** Makes the operators' server. */
export function createOperatorServer(options: {
  readonly listen: string;
  readonly dialect: OperatorDialect;
  readonly actions: OperatorActions;
}): Server {
  const { host, port } = parseAddress(options.listen);
  const server = new Server({ host, port, compression: false });
  options.dialect.addRoutes(server, options.actions);
  return server;
}

/** Serves operators over HTTP, in the words of a dialect. */

import { Server } from "@hapi/hapi";
import type {
  DocumentAck,
  DocumentSource,
  Outcome,
  RetireState,
  RoutingDocument,
} from "@mallowlift/core";
import { checkDocument } from "@mallowlift/sessions";
import { parseAddress } from "@mallowlift/transport";
import type { OperatorActions, OperatorDialect } from "../dialect.ts";
import type { SiteClient } from "../site/site_client.ts";

/** Longest wait for a leader, ms: an operator's tool asks again after a second. */
const ORDER_MILLISECONDS = 900;

/** Carries out orders at the leader of the stores. */
export class SiteOrders implements OperatorActions {
  readonly #client: SiteClient;

  constructor(client: SiteClient) {
    this.#client = client;
  }

  /** Puts a document in force once it has been checked whole. */
  async replace(
    document: RoutingDocument,
    source: Uint8Array,
  ): Promise<Outcome<DocumentAck>> {
    const checked = checkDocument(document);
    if (checked.err) return checked;
    return await this.#client.call(
      "site.replace",
      { document, source },
      ORDER_MILLISECONDS,
    );
  }

  /** The newest document. */
  async read(): Promise<Outcome<DocumentSource>> {
    return await this.#client.call("site.read", {}, ORDER_MILLISECONDS);
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

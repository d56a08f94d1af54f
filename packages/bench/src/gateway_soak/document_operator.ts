/**
 * Two operators that replace the routing document concurrently, repeat some
 * requests, and read the document back.
 */

import { performance } from "node:perf_hooks";
import { type RoutingDocument, sleep } from "@mallowlift/core";
import type { GatewaySite } from "../gateways/gateway_site.ts";
import { addRoutes, TEST_DOCUMENT } from "../gateways/test_document.ts";
import type { Random } from "../soak/random.ts";
import { type CallerRecords, PROMISES } from "./caller_records.ts";
import { addWorkspaces, INITIAL_DOCUMENT } from "./soak_workspaces.ts";

/** Every n-th version is a large document, for this n. */
const LARGE_DOCUMENT_INTERVAL = 5;
/** Number of routes added to a large document; a real site added as many in one change. */
const ADDED_ROUTES = 1_400;
const PAUSE_MILLISECONDS = 400;
/** Timeout of a request, ms. */
const ANSWER_TIMEOUT_MILLISECONDS = 2_000;

/** Options of {@linkcode DocumentOperators}. */
export interface DocumentOperatorOptions {
  readonly site: GatewaySite;
  readonly random: Random;
  readonly records: CallerRecords;
  readonly isOver: () => boolean;
  /** Changes each document before it is sent; by default none is changed. */
  readonly adapt?: (document: RoutingDocument) => RoutingDocument;
}

/** Sends pairs of documents with increasing versions concurrently. */
export class DocumentOperators {
  readonly #options: DocumentOperatorOptions;
  /** Text of each document that was sent, by version. */
  readonly #sent = new Map<number, string>();
  #version = INITIAL_DOCUMENT.version;
  #acknowledged = 0;

  constructor(options: DocumentOperatorOptions) {
    this.#options = options;
    this.#sent.set(
      this.#version,
      JSON.stringify(this.#adapt(INITIAL_DOCUMENT)),
    );
  }

  /** Newest version that has been sent. */
  get version(): number {
    return this.#version;
  }

  /** Runs until the soak is over. */
  async run(): Promise<void> {
    while (!this.#options.isOver()) {
      const versions = [++this.#version, ++this.#version];
      await Promise.all(versions.map((version) => this.#replace(version)));
      await this.check();
      await sleep(PAUSE_MILLISECONDS);
    }
  }

  /** Reads the document and checks it; returns false without a successful answer. */
  async check(): Promise<boolean> {
    const { records } = this.#options;
    const leastVersion = this.#acknowledged;
    const answer = await this.#send("GET", undefined);
    if (answer === undefined) return false;
    const { version } = JSON.parse(answer) as { readonly version: number };
    if (version < leastVersion) {
      records.fail(PROMISES.DOCUMENT, `read ${version} after ${leastVersion}`);
    }
    if (this.#sent.get(version) !== answer) {
      records.fail(PROMISES.DOCUMENT, `version ${version} has changed`);
    }
    return true;
  }

  #adapt(document: RoutingDocument): RoutingDocument {
    return this.#options.adapt?.(document) ?? document;
  }

  /** Sends a document, sometimes twice; the answer may be lost. */
  async #replace(version: number): Promise<void> {
    const { random, records } = this.#options;
    const text = JSON.stringify(this.#adapt(createDocument(version)));
    this.#sent.set(version, text);
    const rounds = random.happens(30) ? 2 : 1;
    for (let round = 0; round < rounds; round++) {
      if (await this.#send("PUT", text) === undefined) continue;
      this.#acknowledged = Math.max(this.#acknowledged, version);
      records.addAcknowledged(version, performance.now());
      records.count("documents acknowledged");
    }
  }

  /** Returns the body of a successful answer, or undefined otherwise. */
  async #send(
    method: "GET" | "PUT",
    body: string | undefined,
  ): Promise<string | undefined> {
    const { random, site, records } = this.#options;
    const gateway = random.choose(site.gateways);
    try {
      const answer = await fetch(`${gateway.operatorsUrl}/v1/routing`, {
        method,
        body: body ?? null,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS),
      });
      const text = await answer.text();
      return answer.ok ? text : undefined;
    } catch {
      // The soak stops gateways and cuts their connections, so this is expected.
      records.count("orders without an answer");
      return undefined;
    }
  }
}

/** Creates the document of a version, which differs from all other versions. */
function createDocument(version: number): RoutingDocument {
  const routes = TEST_DOCUMENT.routes.map((route) => ({
    ...route,
    targetMilliseconds: 200 + version,
  }));
  const document = addWorkspaces({ ...TEST_DOCUMENT, version, routes });
  return version % LARGE_DOCUMENT_INTERVAL === 0
    ? addRoutes(document, ADDED_ROUTES)
    : document;
}

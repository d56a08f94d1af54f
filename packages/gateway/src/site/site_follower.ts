/** Follows the leader's routing document and instance list with long polls. */

import { performance } from "node:perf_hooks";
import {
  ABORTED,
  type Child,
  type FollowReply,
  type Logger,
  RESULT_CODES,
  sleep,
  WakeSignal,
} from "@mallowlift/core";
import type { RouteTable } from "../routing/route_table.ts";
import { DocumentConfirmations } from "./document_confirmations.ts";
import { DocumentFollower } from "./document_follower.ts";
import type { InstanceListFollower } from "./instance_list_follower.ts";
import type { SiteClient } from "./site_client.ts";

/** Delay after a round that ended without a known leader. */
const RETRY_MILLISECONDS = 30;
/**
 * Time that a reply may take in addition to the time for which the leader holds
 * the request.
 */
const REPLY_MARGIN_MILLISECONDS = 300;
/** Timeout of a request during the search for the leader. */
const SEARCH_TIMEOUT_MILLISECONDS = 300;

/** Options of {@linkcode SiteFollower}. */
export interface SiteFollowerOptions {
  readonly name: string;
  readonly client: SiteClient;
  readonly lists: InstanceListFollower;
  readonly holdMilliseconds: number;
  readonly logger: Logger;
}

/**
 * Keeps the gateway's routing document and instance list up to date; it never
 * returns to older ones.
 */
export class SiteFollower implements Child {
  readonly name = "follower";
  readonly #options: SiteFollowerOptions;
  readonly #stopped = new AbortController();
  readonly #documents: DocumentFollower;
  readonly #confirmations = new DocumentConfirmations();
  readonly #replied = new WakeSignal();
  #repliedAt = -Infinity;
  #isLossLogged = false;

  constructor(options: SiteFollowerOptions) {
    this.#options = options;
    this.#documents = new DocumentFollower(options.client, options.logger);
  }

  /** The routes in force; undefined before the first document. */
  get routes(): RouteTable | undefined {
    return this.#documents.routes;
  }

  /**
   * True if the routes in force are those of the newest document according to a
   * leader's reply within the freshness bound. If false, a route that is not
   * found may be in a document that has not arrived yet.
   */
  isNewest(now: number): boolean {
    const { holdMilliseconds } = this.#options;
    const freshness = 2 * (holdMilliseconds + REPLY_MARGIN_MILLISECONDS);
    return this.#documents.isNewest && this.findTimeSinceReply(now) < freshness;
  }

  /**
   * Time since a quorum confirmed that the document in force was the newest,
   * ms.
   */
  findConfirmationAge(now: number): number {
    return this.#confirmations.findAge(this.#documents.version, now);
  }

  /** Resolves at the next document or reply of a leader, or after the limit. */
  async waitForUpdate(limitMilliseconds: number): Promise<void> {
    await Promise.race([
      this.#documents.changed.wait(limitMilliseconds),
      this.#replied.wait(limitMilliseconds),
    ]);
  }

  /**
   * Time since the sending of the latest request to which the leader has
   * replied, ms.
   */
  findTimeSinceReply(now: number): number {
    return now - this.#repliedAt;
  }

  /** Starts following the leader. */
  start(): Promise<void> {
    void this.#run();
    return Promise.resolve();
  }

  /** Stops following the leader. */
  stop(): Promise<void> {
    this.#stopped.abort(ABORTED);
    this.#documents.stop();
    return Promise.resolve();
  }

  async #run(): Promise<void> {
    const { client } = this.#options;
    while (!this.#stopped.signal.aborted) {
      const { leader } = client;
      const isFound = leader === undefined
        ? await this.#search()
        : await this.#follow(leader, this.#options.holdMilliseconds);
      if (!isFound && client.leader === undefined) {
        await sleep(RETRY_MILLISECONDS, this.#stopped.signal);
      }
    }
  }

  /** Queries all stores concurrently; only the leader replies successfully. */
  async #search(): Promise<boolean> {
    const stores = this.#options.client.listStores();
    const found = await Promise.all(
      stores.map((store) => this.#follow(store, 0)),
    );
    return found.includes(true);
  }

  async #follow(store: string, hold: number): Promise<boolean> {
    const { client, name, lists } = this.#options;
    const sentAt = performance.now();
    const reply = await client.callStore(store, "site.follow", {
      request: {
        daemon: name,
        documentVersion: this.#documents.announcedVersion,
        listRevision: lists.revision,
        listAgeMilliseconds: lists.findAge(sentAt),
        holdMilliseconds: hold,
      },
      timeoutMilliseconds: hold === 0
        ? SEARCH_TIMEOUT_MILLISECONDS
        : hold + REPLY_MARGIN_MILLISECONDS,
    });
    if (reply.err) {
      // A leader that answers other calls is slow, not lost; a search for a leader
      // would only add to its load.
      const isSlow = reply.val.code === RESULT_CODES.TIMEOUT &&
        client.hasAnsweredSince(store, sentAt);
      if (client.leader === store && !isSlow) {
        client.setLeader(undefined);
        this.#logLoss(store, reply.val.code.name);
      }
      return false;
    }
    this.#applyReply(store, reply.val, sentAt);
    return true;
  }

  #applyReply(store: string, reply: FollowReply, sentAt: number): void {
    const now = performance.now();
    const { client, logger, lists } = this.#options;
    if (client.leader !== store) {
      logger.info("Leader found", { store, version: reply.documentVersion });
      this.#isLossLogged = false;
    }
    client.setLeader(store);
    this.#repliedAt = Math.max(this.#repliedAt, sentAt);
    if (reply.document !== undefined) this.#documents.receive(reply.document);
    this.#documents.announce(reply.documentVersion);
    const { confirmedMilliseconds = -Infinity } = reply;
    this.#confirmations.record(
      reply.documentVersion,
      sentAt + confirmedMilliseconds,
    );
    this.#replied.wake();
    lists.apply(reply, now);
  }

  #logLoss(store: string, reason: string): void {
    if (this.#isLossLogged) return;
    this.#isLossLogged = true;
    this.#options.logger.warn("Leader lost", { store, reason });
  }
}

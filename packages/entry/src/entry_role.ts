/** The entry role: a stateless HTTP server for callers and operators. */

import { performance } from "node:perf_hooks";
import type { Server } from "@hapi/hapi";
import { ConfigurationFollower } from "@mallowlift/configuration";
import {
  ABORTED,
  type Child,
  findFinalAnswersStart,
  findProgramGroup,
  type Logger,
  type Metrics,
  OrderedServer,
  type Settings,
} from "@mallowlift/core";
import { parseAddress, type PeerLinks } from "@mallowlift/transport";
import { createCallerRoutes } from "./callers/caller_routes.ts";
import type { EntryContext } from "./entry_context.ts";
import { BodyBudget } from "./http/body_budget.ts";
import { createHttpServer } from "./http/create_server.ts";
import { OpenRequests } from "./http/open_requests.ts";
import { UnreadStreams } from "./http/unread_streams.ts";
import { createOperatorRoutes } from "./operators/operator_routes.ts";
import { OwnerDirectory } from "./owners/owner_directory.ts";

const POLL_HOLD_MILLISECONDS = 1_000;

/** Options of an {@linkcode EntryRole}. */
export interface EntryRoleOptions {
  readonly settings: Settings;
  readonly bootId: string;
  readonly links: PeerLinks;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Serves the HTTP interface and forwards requests to the owners of programs
 * and of the configuration.
 */
export class EntryRole implements Child {
  readonly name = "entry";
  readonly #options: EntryRoleOptions;
  readonly #logger: Logger;
  readonly #follower: ConfigurationFollower;
  readonly #listener: OrderedServer;
  readonly #server: Server;
  readonly #requests: OpenRequests;
  readonly #drained = new AbortController();

  constructor(options: EntryRoleOptions) {
    const { settings, bootId, links, metrics } = options;
    const { entry, network, daemon } = settings;
    const replicas = network.replicas.map((replica) =>
      links.get(replica.address)
    );
    const logger = options.logger.forPart("entry");
    this.#options = options;
    this.#logger = logger;
    this.#follower = new ConfigurationFollower({
      daemonId: daemon.name,
      bootId,
      replicas,
      holdMilliseconds: POLL_HOLD_MILLISECONDS,
      logger,
      metrics,
    });
    this.#requests = new OpenRequests({ logger, metrics });
    const context: EntryContext = {
      owners: new OwnerDirectory(replicas, {
        waitMilliseconds: entry.ownerWaitMilliseconds,
        metrics,
      }),
      links,
      follower: this.#follower,
      requests: this.#requests,
      bodies: new BodyBudget(
        Math.max(entry.requestTotalBytes, entry.maxBodyBytes),
        metrics,
      ),
      unread: new UnreadStreams({
        callBytes: entry.unreadCallBytes,
        totalBytes: entry.unreadTotalBytes,
        logger,
        metrics,
      }),
      operatorTokenSha256: entry.operatorTokenSha256,
      maxBodyBytes: entry.maxBodyBytes,
      logger,
      metrics,
      findGroup: (programId) =>
        findProgramGroup(programId, network.programGroups),
      isFresh: () => this.isFresh(),
      isDraining: () => this.#drained.signal.aborted,
      drainSignal: this.#drained.signal,
    };
    const { host, port } = parseAddress(entry.httpListen);
    const { maxBodyBytes } = entry;
    this.#listener = new OrderedServer({ part: "entry", logger, metrics });
    this.#server = createHttpServer({
      host,
      port,
      listener: this.#listener,
      maxBodyBytes,
      logger,
      metrics,
    });
    this.#server.route([
      ...createCallerRoutes(context),
      ...createOperatorRoutes(context),
    ]);
  }

  /** True if the configuration was confirmed within `staleMilliseconds`. */
  isFresh(): boolean {
    const limit = this.#options.settings.entry.staleMilliseconds;
    return this.#follower.isFresh(performance.now(), limit);
  }

  /** True while this entry accepts new work. */
  isHealthy(): boolean {
    return this.isFresh() && !this.#drained.signal.aborted;
  }

  /**
   * Starts the HTTP server. Requests of callers are rejected until the
   * configuration has been received.
   */
  async start(): Promise<void> {
    this.#follower.start();
    await this.#server.start();
    this.#logger.info("Started", { address: this.#server.info.uri });
  }

  /**
   * Refuses new requests and waits for those in flight. Shortly before the end,
   * all that are still open are answered.
   */
  async stop(endAt: number): Promise<void> {
    this.#drained.abort(ABORTED);
    this.#listener.endConnections();
    const answerAt = findFinalAnswersStart(performance.now(), endAt);
    await this.#requests.waitUntilEmpty(answerAt);
    this.#requests.endAll();
    // The framework itself would end a connection behind the next answer.
    await this.#listener.closeAnswered(
      Math.max(0, endAt - performance.now()),
    );
    await this.#server.stop({ timeout: 0 });
    this.#follower.stop();
  }
}

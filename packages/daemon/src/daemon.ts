/** Runs the roles that the settings of a daemon name under one supervisor. */

import {
  type Child,
  type Logger,
  type Metrics,
  ROLES,
  type Settings,
  Supervisor,
} from "@mallowlift/core";
import type { BootResult } from "@mallowlift/boot";
import { GatewayRole } from "@mallowlift/gateway";
import {
  Directory,
  DirectoryTask,
  FounderGrants,
} from "@mallowlift/membership";
import { StoreRole } from "@mallowlift/store";
import {
  type HandlerTable,
  PeerLinks,
  PeerServer,
} from "@mallowlift/transport";
import { inject, singleton } from "tsyringe";
import type { ChatRoleFactory, RunningRole } from "./chat_roles.ts";
import type { Dialects } from "./dialects.ts";
import type { LiveSettings } from "./live_settings.ts";
import { HealthServer, type RoleHealth } from "./health_server.ts";
import { StallWatch } from "./stall_watch.ts";
import { findStopEnd } from "./stop_end.ts";
import { TOKENS } from "./tokens.ts";

const MAX_RESTARTS = 3;
const RESTART_INTERVAL_MILLISECONDS = 60_000;
/** Default of `advertise`: other daemons use the address that this daemon listens on. */
const UNSPECIFIED_ADDRESS = "0.0.0.0:0";
/** Time between the report of bad health and the stop of the roles, ms. */
const STOP_DELAY_MILLISECONDS = 50;

interface SiteMembership {
  readonly directory: Directory;
  readonly task: DirectoryTask;
}

/** Creates, starts and stops the roles and servers of one process. */
@singleton()
export class Daemon {
  readonly #supervisor: Supervisor;
  readonly #roles: RunningRole[] = [];
  readonly #site: SiteMembership | undefined;
  readonly #server: PeerServer;
  #address = "";
  #stopping = false;

  constructor(
    @inject(TOKENS.SETTINGS) private readonly settings: Settings,
    @inject(TOKENS.LOGGER) private readonly logger: Logger,
    @inject(TOKENS.METRICS) private readonly metrics: Metrics,
    @inject(TOKENS.LINKS) private readonly links: PeerLinks,
    @inject(TOKENS.BOOT_ID) private readonly bootId: string,
    @inject(TOKENS.DIALECTS) private readonly dialects: Dialects,
    @inject(TOKENS.LIVE_SETTINGS) private readonly liveSettings: LiveSettings,
    @inject(TOKENS.BOOT) private readonly boot: BootResult,
    @inject(TOKENS.CHAT_ROLES) private readonly chatRoles: ReadonlyMap<
      string,
      ChatRoleFactory
    >,
  ) {
    this.#site = this.#createSiteMembership();
    this.#supervisor = new Supervisor("daemon", {
      logger,
      maxRestarts: MAX_RESTARTS,
      intervalMilliseconds: RESTART_INTERVAL_MILLISECONDS,
    });
    for (const role of settings.daemon.roles) {
      this.#roles.push(this.#createRole(role));
    }
    this.#server = this.#createServer();
  }

  /** Rejects when the daemon cannot continue. */
  get ended(): Promise<void> {
    return this.#supervisor.ended;
  }

  /** Starts the health server, the server for other daemons, and the roles. */
  async start(): Promise<void> {
    const health = new HealthServer({
      listen: this.settings.daemon.healthListen,
      metricsListen: this.settings.daemon.metricsListen,
      readinessPath: this.dialects.readinessPath,
      metrics: this.metrics,
      listHealth: () => this.#listHealth(),
    });
    this.#supervisor.add(() => health);
    const { logger, metrics } = this;
    this.#supervisor.add(() => new StallWatch({ logger, metrics }));
    this.#supervisor.add(() => this.#createServerChild());
    const { task } = this.#site ?? {};
    if (task !== undefined) this.#supervisor.add(() => task);
    for (const role of this.#roles) this.#supervisor.add(() => role);
    await this.#supervisor.start();
    if (this.#stopping) return;
    this.logger.info("Started", {
      name: this.settings.daemon.name,
      address: this.#address,
    });
  }

  /**
   * Stops the roles in reverse order; each first waits for its open requests.
   * All share one end, which counts from the request to stop.
   *
   * @param requestedAt when the stop was requested, by the local clock, ms
   */
  async stop(requestedAt: number): Promise<void> {
    this.#stopping = true;
    const endAt = findStopEnd(this.settings.daemon, requestedAt);
    this.logger.info("Stopping");
    this.#supervisor.prepareStop(endAt);
    await new Promise((resolve) =>
      setTimeout(resolve, STOP_DELAY_MILLISECONDS)
    );
    await this.#supervisor.stop(endAt);
    this.links.stop();
    this.logger.info("Stopped");
  }

  #createRole(role: string): RunningRole {
    const { settings, bootId, links, logger, metrics } = this;
    const getAddress = () => this.#address;
    const site = this.#site;
    if (role === ROLES.GATEWAY && site !== undefined) {
      return new GatewayRole({
        settings,
        links,
        directory: site.directory,
        callerDialect: this.dialects.caller,
        operatorDialect: this.dialects.operator,
        random: Math.random,
        heldPort: this.boot.heldPort,
        logger,
        metrics,
      });
    }
    if (role === ROLES.STORE && site !== undefined) {
      return new StoreRole({
        settings,
        getAddress,
        links,
        directory: site.directory,
        task: site.task,
        createSource: this.dialects.createInstanceSource,
        logger,
        metrics,
      });
    }
    const create = this.chatRoles.get(role);
    if (create === undefined) throw new Error(`Role ${role} is not loaded`);
    return create({ settings, bootId, getAddress, links, logger, metrics });
  }

  /** Creates the directory through which gateways and stores find each other. */
  #createSiteMembership(): SiteMembership | undefined {
    const { daemon, network, store } = this.settings;
    const needsDirectory = daemon.roles.includes(ROLES.GATEWAY) ||
      daemon.roles.includes(ROLES.STORE);
    if (!needsDirectory) return undefined;
    const { listen, advertise } = network;
    const directory = new Directory({
      name: daemon.name,
      bootId: this.bootId,
      address: advertise === UNSPECIFIED_ADDRESS ? listen : advertise,
      roles: daemon.roles,
      failureDomain: daemon.failureDomain,
    });
    const isFirstStart = store.firstStart === "yes" ||
      store.firstStart === "true";
    const task = new DirectoryTask({
      directory,
      grants: new FounderGrants(directory, isFirstStart),
      links: this.links,
      listSeeds: () => this.liveSettings.seeds,
      intervalMilliseconds: network.directoryMilliseconds,
      random: Math.random,
    });
    return { directory, task };
  }

  #createServer(): PeerServer {
    const { network } = this.settings;
    const handlers: HandlerTable = { ...this.#site?.task.createHandlers() };
    for (const role of this.#roles) {
      Object.assign(handlers, role.createHandlers?.());
    }
    return new PeerServer({
      listen: network.listen,
      sharedKey: network.sharedKey,
      maxFrameBytes: network.maxFrameBytes,
      handshakeMilliseconds: network.connectMilliseconds,
      handlers,
      logger: this.logger.forPart("transport"),
      metrics: this.metrics,
    });
  }

  #createServerChild(): Child {
    return {
      name: "port",
      start: async () => {
        const bound = await this.#server.start();
        const { advertise } = this.settings.network;
        this.#address = advertise === UNSPECIFIED_ADDRESS ? bound : advertise;
      },
      stop: () => this.#server.stop(),
    };
  }

  #listHealth(): readonly RoleHealth[] {
    return this.#roles.map((role) => ({
      role: role.name,
      healthy: !this.#stopping && role.isHealthy(),
    }));
  }
}

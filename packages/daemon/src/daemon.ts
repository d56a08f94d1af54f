/** One daemon: the roles of its settings below one supervisor. */

import {
  type Child,
  type Logger,
  type Metrics,
  ROLES,
  type Settings,
  Supervisor,
} from "@mallowlift/core";
import { EntryRole } from "@mallowlift/entry";
import { ReplicaRole } from "@mallowlift/replica";
import { SidecarRole } from "@mallowlift/sidecar";
import {
  type HandlerTable,
  PeerLinks,
  PeerServer,
} from "@mallowlift/transport";
import { inject, singleton } from "tsyringe";
import { HealthServer, type RoleHealth } from "./health_server.ts";
import { TOKENS } from "./tokens.ts";

const MAX_RESTARTS = 3;
const RESTART_INTERVAL_MILLISECONDS = 60_000;
const ANY_ADDRESS = "0.0.0.0:0";
const LEAVING_MILLISECONDS = 50;

interface RunningRole extends Child {
  isHealthy(): boolean;
  createHandlers?(): HandlerTable;
}

/** A daemon. */
@singleton()
export class Daemon {
  readonly #supervisor: Supervisor;
  readonly #roles: RunningRole[] = [];
  readonly #server: PeerServer;
  #address = "";
  #stopping = false;

  constructor(
    @inject(TOKENS.SETTINGS) private readonly settings: Settings,
    @inject(TOKENS.LOGGER) private readonly logger: Logger,
    @inject(TOKENS.METRICS) private readonly metrics: Metrics,
    @inject(TOKENS.LINKS) private readonly links: PeerLinks,
    @inject(TOKENS.BOOT_ID) private readonly bootId: string,
  ) {
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

  /** Rejects when the daemon cannot go on. */
  get ended(): Promise<void> {
    return this.#supervisor.ended;
  }

  /** Starts the health server, the port for other daemons, and the roles. */
  async start(): Promise<void> {
    const health = new HealthServer({
      listen: this.settings.daemon.healthListen,
      metrics: this.metrics,
      listHealth: () => this.#listHealth(),
    });
    this.#supervisor.add(() => health);
    this.#supervisor.add(() => this.#createPort());
    for (const role of this.#roles) this.#supervisor.add(() => role);
    await this.#supervisor.start();
    this.logger.info("Started", {
      name: this.settings.daemon.name,
      address: this.#address,
    });
  }

  /** Stops the roles in reverse order; open requests are finished first. */
  async stop(): Promise<void> {
    this.#stopping = true;
    this.logger.info("Stopping");
    await new Promise((resolve) => setTimeout(resolve, LEAVING_MILLISECONDS));
    await this.#supervisor.stop();
    this.links.stop();
    this.logger.info("Stopped");
  }

  #createRole(role: string): RunningRole {
    const { settings, bootId, links, logger, metrics } = this;
    const getAddress = () => this.#address;
    if (role === ROLES.REPLICA) {
      return new ReplicaRole({ settings, getAddress, links, logger, metrics });
    }
    if (role === ROLES.ENTRY) {
      return new EntryRole({ settings, bootId, links, logger, metrics });
    }
    const replicas = settings.network.replicas.map((replica) =>
      links.get(replica.address)
    );
    return new SidecarRole({
      settings,
      bootId,
      getAddress,
      replicas,
      logger,
      metrics,
    });
  }

  #createServer(): PeerServer {
    const { network } = this.settings;
    const handlers: HandlerTable = {};
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

  #createPort(): Child {
    return {
      name: "port",
      start: async () => {
        const bound = await this.#server.start();
        const { advertise } = this.settings.network;
        this.#address = advertise === ANY_ADDRESS ? bound : advertise;
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

/** The sidecar role: stands beside one upstream and is the only way to it. */

import { ConfigurationFollower } from "@mallowlift/configuration";
import {
  ABORTED,
  type Child,
  type Logger,
  type Metrics,
  type Settings,
  type SidecarReport,
  sleep,
} from "@mallowlift/core";
import { createQueueOrder } from "@mallowlift/scheduling";
import type { Caller, HandlerTable } from "@mallowlift/transport";
import { Admission } from "./attempts/admission.ts";
import { AttemptTable } from "./attempts/attempt_table.ts";
import { HttpEngineOrders } from "./orders/engine_orders.ts";
import { OrderKeeper } from "./orders/order_keeper.ts";
import { RecentChanges } from "./reports/recent_changes.ts";
import { Reporter } from "./reports/reporter.ts";
import { SessionKeeper } from "./reports/session_keeper.ts";
import { createSidecarHandlers } from "./sidecar_app.ts";
import { EngineClient } from "./upstream/engine_client.ts";
import { ServiceClient } from "./upstream/service_client.ts";
import type {
  UpstreamClient,
  UpstreamLoad,
} from "./upstream/upstream_client.ts";

/** A change of the configuration wakes the look at once. */
const LOOK_MILLISECONDS = 1_000;
const LAST_ANSWERS_MILLISECONDS = 250;
const DRAIN_LOOK_MILLISECONDS = 20;
const SESSION_MILLISECONDS = 3_000;
/** Long enough that each change is in several reports to each replica. */
const CHANGES_MILLISECONDS = 4_000;
const HOLD_MILLISECONDS = 1_000;

/** What the role needs. */
export interface SidecarRoleOptions {
  readonly settings: Settings;
  readonly bootId: string;
  /** Returns the address that other daemons reach this one at. */
  readonly getAddress: () => string;
  readonly replicas: readonly Caller[];
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A sidecar. */
export class SidecarRole implements Child {
  readonly name = "sidecar";
  readonly #options: SidecarRoleOptions;
  readonly #logger: Logger;
  readonly #admission: Admission;
  readonly #upstream: UpstreamClient;
  readonly #table: AttemptTable;
  readonly #follower: ConfigurationFollower;
  readonly #reporter: Reporter;
  readonly #sessions: SessionKeeper;
  readonly #orders: OrderKeeper | undefined;
  readonly #stopped = new AbortController();
  readonly #cacheChanges = new RecentChanges(CHANGES_MILLISECONDS);
  #load: UpstreamLoad | undefined;
  #stopping = false;

  constructor(options: SidecarRoleOptions) {
    const { settings, bootId, replicas, metrics } = options;
    const { sidecar } = settings;
    const logger = options.logger.forPart("sidecar");
    this.#options = options;
    this.#logger = logger;
    this.#admission = new Admission(sidecar, createQueueOrder(sidecar));
    this.#upstream = createUpstreamClient(options, logger);
    this.#table = new AttemptTable({
      bootId,
      admission: this.#admission,
      upstream: this.#upstream,
      keepMilliseconds: sidecar.keepMilliseconds,
      logger,
      metrics,
    });
    this.#follower = new ConfigurationFollower({
      daemonId: settings.daemon.name,
      bootId,
      replicas,
      holdMilliseconds: HOLD_MILLISECONDS,
      logger,
      metrics,
    });
    this.#reporter = new Reporter({
      replicas,
      reportMilliseconds: sidecar.reportMilliseconds,
      createReport: () => this.#createReport(),
      logger,
    });
    this.#sessions = new SessionKeeper({
      upstream: this.#upstream,
      replicas,
      programGroups: settings.network.programGroups,
      intervalMilliseconds: SESSION_MILLISECONDS,
      logger,
    });
    this.#orders = this.#createOrderKeeper();
  }

  /** Handlers for owners and entries. */
  createHandlers(): HandlerTable {
    return createSidecarHandlers(this.#table, this.#upstream);
  }

  /** True while the upstream answers and the sidecar takes work. */
  isHealthy(): boolean {
    return this.#load !== undefined && !this.#table.isDraining;
  }

  /** Starts all tasks. */
  async start(): Promise<void> {
    this.#load = await this.#upstream.readLoad();
    this.#follower.start();
    this.#reporter.start();
    this.#sessions.start();
    this.#orders?.start();
    void this.#watch();
    this.#logger.info("Started", {
      upstream: this.#options.settings.sidecar.upstream,
    });
  }

  /** Refuses new work, finishes what is open, then ends. */
  async stop(): Promise<void> {
    this.#stopping = true;
    this.#table.setDraining(true);
    this.#reporter.reportNow();
    const deadline = Date.now() +
      this.#options.settings.daemon.stopMilliseconds;
    while (this.#table.openCount > 0 && Date.now() < deadline) {
      await sleep(DRAIN_LOOK_MILLISECONDS);
    }
    // Owners and entries read the last answers over their open connections.
    await sleep(LAST_ANSWERS_MILLISECONDS);
    this.#stopped.abort(ABORTED);
    this.#orders?.stop();
    this.#sessions.stop();
    this.#reporter.stop();
    this.#follower.stop();
  }

  async #watch(): Promise<void> {
    const { sidecar } = this.#options.settings;
    while (!this.#stopped.signal.aborted) {
      this.#load = await this.#upstream.readLoad();
      const resource = this.#follower.view.find("upstream", sidecar.upstream);
      const wasDraining = this.#table.isDraining;
      this.#table.setDraining(this.#stopping || resource?.spec.drain === true);
      if (wasDraining !== this.#table.isDraining) this.#reporter.reportNow();
      this.#table.forgetOld(Date.now());
      await this.#readCacheChanges();
      await this.#follower.waitForChange(LOOK_MILLISECONDS);
    }
  }

  async #readCacheChanges(): Promise<void> {
    try {
      const changes = await this.#upstream.readCacheChanges();
      this.#cacheChanges.add(changes, Date.now());
    } catch {
      this.#logger.debug("Engine did not list its cache events");
    }
  }

  #createReport(): SidecarReport {
    const { settings, bootId, getAddress } = this.#options;
    const { sidecar, daemon } = settings;
    return {
      sidecarId: daemon.name,
      bootId,
      address: getAddress(),
      failureDomain: daemon.failureDomain,
      type: sidecar.type,
      service: sidecar.service,
      models: this.#load?.models ?? [],
      draining: this.#table.isDraining || this.#load === undefined,
      running: this.#admission.running,
      queued: this.#admission.queued,
      slots: sidecar.slots,
      queueLimit: sidecar.queueLimit,
      stepMilliseconds: this.#load?.stepMilliseconds ?? 1,
      cacheChanges: this.#cacheChanges.list(Date.now()),
      revision: this.#follower.view.revision,
    };
  }

  #createOrderKeeper(): OrderKeeper | undefined {
    const { settings, bootId, replicas } = this.#options;
    const { sidecar } = settings;
    if (sidecar.type !== "model") return undefined;
    return new OrderKeeper({
      upstream: sidecar.upstream,
      bootId,
      engine: new HttpEngineOrders(sidecar.upstreamUrl),
      view: this.#follower.view,
      replicas,
      leaseMilliseconds: sidecar.leaseMilliseconds,
      logger: this.#logger,
    });
  }
}

function createUpstreamClient(
  options: SidecarRoleOptions,
  logger: Logger,
): UpstreamClient {
  const { sidecar } = options.settings;
  if (sidecar.type === "service") {
    return new ServiceClient(sidecar.upstreamUrl, sidecar.silentMilliseconds);
  }
  return new EngineClient({
    url: sidecar.upstreamUrl,
    silentMilliseconds: sidecar.silentMilliseconds,
    logger,
    metrics: options.metrics,
  });
}

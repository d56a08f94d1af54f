/** The sidecar role: runs beside one upstream and is the only access to it. */

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
import type { HandlerTable, PeerClient } from "@mallowlift/transport";
import { Admission } from "./attempts/admission.ts";
import { AttemptTable } from "./attempts/attempt_table.ts";
import { stopAttempts } from "./attempts/stop_attempts.ts";
import { HttpEngineOrderClient } from "./orders/engine_orders.ts";
import { OrderReconciler } from "./orders/order_reconciler.ts";
import { RecentChanges } from "./reports/recent_changes.ts";
import { Reporter } from "./reports/reporter.ts";
import { SessionCleaner } from "./reports/session_cleaner.ts";
import { createSidecarHandlers } from "./sidecar_app.ts";
import { EngineClient } from "./upstream/engine_client.ts";
import { ServiceClient } from "./upstream/service_client.ts";
import type {
  UpstreamClient,
  UpstreamLoad,
} from "./upstream/upstream_client.ts";

/** Longest wait before the next check, ms; a configuration change starts it at once. */
const WATCH_INTERVAL_MILLISECONDS = 1_000;
const FINAL_RESPONSE_GRACE_MILLISECONDS = 250;
const SESSION_CLEANUP_INTERVAL_MILLISECONDS = 3_000;
/** Long enough that several reports to each replica contain each change. */
const CACHE_CHANGE_RETENTION_MILLISECONDS = 4_000;
const LONG_POLL_MILLISECONDS = 1_000;

/** Options of {@linkcode SidecarRole}. */
export interface SidecarRoleOptions {
  readonly settings: Settings;
  readonly bootId: string;
  /** Returns the address at which other daemons reach this one. */
  readonly getAddress: () => string;
  readonly replicas: readonly PeerClient[];
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Runs attempts at one upstream and reports its state to the replicas. */
export class SidecarRole implements Child {
  readonly name = "sidecar";
  readonly #options: SidecarRoleOptions;
  readonly #logger: Logger;
  readonly #admission: Admission;
  readonly #upstream: UpstreamClient;
  readonly #table: AttemptTable;
  readonly #follower: ConfigurationFollower;
  readonly #reporter: Reporter;
  readonly #sessionCleaner: SessionCleaner;
  readonly #orderReconciler: OrderReconciler | undefined;
  readonly #stopped = new AbortController();
  readonly #cacheChanges = new RecentChanges(
    CACHE_CHANGE_RETENTION_MILLISECONDS,
  );
  #load: UpstreamLoad | undefined;
  #isStopping = false;

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
      keptTotalBytes: sidecar.keptTotalBytes,
      logger,
      metrics,
    });
    this.#follower = new ConfigurationFollower({
      daemonId: settings.daemon.name,
      bootId,
      replicas,
      holdMilliseconds: LONG_POLL_MILLISECONDS,
      logger,
      metrics,
    });
    this.#reporter = new Reporter({
      replicas,
      reportMilliseconds: sidecar.reportMilliseconds,
      createReport: () => this.#createReport(),
      logger,
    });
    this.#sessionCleaner = new SessionCleaner({
      upstream: this.#upstream,
      replicas,
      programGroups: settings.network.programGroups,
      intervalMilliseconds: SESSION_CLEANUP_INTERVAL_MILLISECONDS,
      logger,
    });
    this.#orderReconciler = this.#createOrderReconciler();
  }

  /** Creates the handlers for requests from owners and entries. */
  createHandlers(): HandlerTable {
    return createSidecarHandlers(this.#table, this.#upstream);
  }

  /** Returns true while the upstream responds and new attempts are accepted. */
  isHealthy(): boolean {
    return this.#load !== undefined && !this.#table.isDraining;
  }

  /** Reads the upstream's load and starts all tasks. */
  async start(): Promise<void> {
    this.#load = await this.#upstream.readLoad();
    this.#follower.start();
    this.#reporter.start();
    this.#sessionCleaner.start();
    this.#orderReconciler?.start();
    void this.#watch();
    this.#logger.info("Started", {
      upstream: this.#options.settings.sidecar.upstream,
    });
  }

  /**
   * Rejects new attempts, ends queued ones, waits for running ones and ends them
   * shortly before the end, then stops all tasks.
   */
  async stop(endAt: number): Promise<void> {
    this.#isStopping = true;
    this.#table.setDraining(true);
    this.#reporter.reportNow();
    const deadline = endAt - FINAL_RESPONSE_GRACE_MILLISECONDS;
    await stopAttempts(this.#table, deadline);
    // Owners and entries still read the last answers over open connections.
    await sleep(FINAL_RESPONSE_GRACE_MILLISECONDS);
    this.#stopped.abort(ABORTED);
    this.#orderReconciler?.stop();
    this.#sessionCleaner.stop();
    this.#reporter.stop();
    this.#follower.stop();
  }

  async #watch(): Promise<void> {
    const { sidecar } = this.#options.settings;
    while (!this.#stopped.signal.aborted) {
      this.#load = await this.#upstream.readLoad();
      const resource = this.#follower.view.find("upstream", sidecar.upstream);
      const wasDraining = this.#table.isDraining;
      this.#table.setDraining(
        this.#isStopping || resource?.spec.drain === true,
      );
      if (wasDraining !== this.#table.isDraining) this.#reporter.reportNow();
      this.#table.evictExpired(Date.now());
      await this.#readCacheChanges();
      await this.#follower.waitForChange(WATCH_INTERVAL_MILLISECONDS);
    }
  }

  async #readCacheChanges(): Promise<void> {
    try {
      const changes = await this.#upstream.readCacheChanges();
      this.#cacheChanges.add(changes, Date.now());
    } catch {
      this.#logger.debug("Reading the cache events of the engine failed");
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

  #createOrderReconciler(): OrderReconciler | undefined {
    const { settings, bootId, replicas } = this.#options;
    const { sidecar } = settings;
    if (sidecar.type !== "model") return undefined;
    return new OrderReconciler({
      upstream: sidecar.upstream,
      bootId,
      engine: new HttpEngineOrderClient(sidecar.upstreamUrl),
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

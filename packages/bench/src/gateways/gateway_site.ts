/** Starts a small site of gateway and store processes, for tests. */

import { randomUUID } from "node:crypto";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { RoutingDocument, UpstreamInstance } from "@mallowlift/core";
import { sleep } from "@mallowlift/core";
import { FaultProxy, type OpaqueUpstream } from "@mallowlift/mocks";
import { findFreePorts } from "../site/free_ports.ts";
import { ManagedProcess } from "../site/managed_process.ts";
import {
  findFailureDomain,
  formatSettings,
  SITE_KEY,
} from "../site/site_plan.ts";

/** Timeout for a site to become ready, ms; far above the usual time. */
const READY_MILLISECONDS = 60_000;
const POLL_MILLISECONDS = 50;
/** Timeout of a health request, ms. */
const HEALTH_MILLISECONDS = 2_000;

/** One gateway or store. */
export interface SiteDaemon {
  readonly name: string;
  readonly process: ManagedProcess;
  readonly dataFolder: string;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly healthUrl: string;
}

/** Size and settings of a site. */
export interface GatewaySitePlan {
  readonly folder: string;
  readonly gateways: number;
  readonly stores: number;
  readonly upstreams: readonly Pick<OpaqueUpstream, "id" | "address">[];
  /** How long a request waits for a leader or a document, ms. */
  readonly waitMilliseconds?: number;
  /** True to put a fault proxy in front of each daemon and each upstream. */
  readonly proxied?: boolean;
  /** Number of stores that may fail at the same time; 1 by default, 0 of one store. */
  readonly tolerance?: number;
  /** Time between two reads of the instance list, ms; short by default for fast tests. */
  readonly listMilliseconds?: number;
  /** Time between two directory exchanges, ms; short by default for fast tests. */
  readonly directoryMilliseconds?: number;
  /** Largest internal frame, bytes; by default that of the settings schema. */
  readonly maxFrameBytes?: number;
  /** Path of a module that stores load before their own code. */
  readonly preloadedByStores?: string;
  /** Path of a module that gateways load before their own code. */
  readonly preloadedByGateways?: string;
  /** Options of Node.js for all daemons. */
  readonly nodeOptions?: readonly string[] | undefined;
  /** Additional keys of the gateways' settings. */
  readonly gatewaySettings?: Readonly<Record<string, string | number>>;
  /** Time that a daemon has to stop, ms; 20,000 by default. */
  readonly stopMilliseconds?: number | undefined;
  /** Roles of the gateways' daemons; only the gateway by default. */
  readonly gatewayRoles?: string | undefined;
  /** False to return from the start as soon as the document is acknowledged. */
  readonly startsReady?: boolean;
}

/** Gateways, and stores that read their instance list from a file. */
export class GatewaySite {
  readonly gateways: SiteDaemon[] = [];
  readonly stores: SiteDaemon[] = [];
  /** Fault proxies of daemons and upstreams, by name; empty unless `proxied` is set. */
  readonly proxies = new Map<string, FaultProxy>();
  readonly #plan: GatewaySitePlan;
  readonly #key = randomUUID();
  /** Ports of each daemon, in order: other daemons, health, callers, operators. */
  readonly #ports = new Map<string, readonly number[]>();
  #seeds = "";

  private constructor(plan: GatewaySitePlan) {
    this.#plan = plan;
  }

  /** Starts a site, puts a document in force, and mostly waits until all are ready. */
  static async start(
    plan: GatewaySitePlan,
    document: RoutingDocument,
  ): Promise<GatewaySite> {
    const site = new GatewaySite(plan);
    mkdirSync(plan.folder, { recursive: true });
    for (const { id, address } of plan.upstreams) {
      await site.#addProxy(id, Number(address.split(":")[1]));
    }
    site.writeInstanceList();
    await site.#planDaemons();
    for (const daemon of site.daemons) daemon.process.start();
    await site.putDocument(document);
    if (plan.startsReady !== false) await site.waitUntilReady();
    return site;
  }

  /** All daemons. */
  get daemons(): readonly SiteDaemon[] {
    return [...this.gateways, ...this.stores];
  }

  /** Writes the instance list; the ids in `leaving` are marked as leaving. */
  writeInstanceList(leaving: readonly string[] = []): void {
    const instances: UpstreamInstance[] = this.#plan.upstreams.map((
      upstream,
    ) => ({
      id: upstream.id,
      service: "s",
      address: this.proxies.get(upstream.id)?.address ?? upstream.address,
      failureDomain: "hall-kawah",
      slots: 8,
      leaving: leaving.includes(upstream.id),
    }));
    writeFileSync(this.#listPath, JSON.stringify(instances));
  }

  /** Sends a document until it is acknowledged; throws after a timeout. */
  async putDocument(document: RoutingDocument): Promise<void> {
    const url = `${this.gateways[0]?.operatorsUrl}/v1/routing`;
    const until = Date.now() + READY_MILLISECONDS;
    while (Date.now() < until) {
      const answer = await fetch(url, {
        method: "PUT",
        body: JSON.stringify(document),
      }).catch(() => undefined);
      if (answer?.ok === true) return;
      await sleep(POLL_MILLISECONDS);
    }
    throw new Error("The routing document was not acknowledged in time");
  }

  /** Waits until every running daemon is ready; throws after a timeout. */
  async waitUntilReady(): Promise<void> {
    const until = Date.now() + READY_MILLISECONDS;
    for (const daemon of this.daemons) {
      while (daemon.process.isRunning && !await isReady(daemon)) {
        if (Date.now() > until) throw new Error(`${daemon.name} is not ready`);
        await sleep(POLL_MILLISECONDS);
      }
    }
  }

  /** True if a daemon runs and reports that it is ready. */
  async isReady(daemon: SiteDaemon): Promise<boolean> {
    return daemon.process.isRunning && await isReady(daemon);
  }

  /** Waits until a store is ready; false if the limit passes first. */
  async waitUntilStoreReady(
    store: SiteDaemon,
    limitMilliseconds: number,
  ): Promise<boolean> {
    const until = Date.now() + limitMilliseconds;
    while (Date.now() < until) {
      if (await this.isReady(store)) return true;
      await sleep(POLL_MILLISECONDS);
    }
    return false;
  }

  /** Waits, up to a limit, until a daemon answers health requests, ready or not. */
  async waitUntilReachable(
    daemon: SiteDaemon,
    limitMilliseconds: number,
  ): Promise<void> {
    const until = Date.now() + limitMilliseconds;
    while (Date.now() < until) {
      if (await fetchHealth(daemon) !== undefined) return;
      await sleep(POLL_MILLISECONDS);
    }
  }

  /** Kills a daemon, and deletes its data if `loseDisk` is set. */
  async kill(daemon: SiteDaemon, loseDisk = false): Promise<void> {
    await daemon.process.kill();
    if (loseDisk) rmSync(daemon.dataFolder, { recursive: true });
  }

  /** Restarts a daemon, with `first_start` set to no. */
  restart(daemon: SiteDaemon): void {
    this.#writeSettings(daemon, "no");
    daemon.process.start();
  }

  /** Kills all daemons and stops the proxies. */
  async stop(): Promise<void> {
    for (const daemon of this.daemons) await daemon.process.kill();
    for (const proxy of this.proxies.values()) await proxy.stop();
  }

  get #listPath(): string {
    return join(this.#plan.folder, "instances.json");
  }

  async #planDaemons(): Promise<void> {
    const { gateways, stores, folder } = this.#plan;
    for (let number = 0; number < gateways + stores; number++) {
      const isGateway = number < gateways;
      const name = isGateway ? `gateway-${number}` : `store-${number}`;
      const ports = await findFreePorts(4);
      const daemon = createDaemon(folder, name, {
        ports,
        preload: isGateway
          ? this.#plan.preloadedByGateways
          : this.#plan.preloadedByStores,
        nodeOptions: this.#plan.nodeOptions ?? [],
      });
      (isGateway ? this.gateways : this.stores).push(daemon);
      this.#ports.set(name, ports);
      await this.#addProxy(name, ports[0] ?? 0);
      if (isGateway) {
        this.#seeds += `${this.#seeds === "" ? "" : ","}${
          this.#findAddress(name)
        }`;
      }
    }
    for (const daemon of this.daemons) this.#writeSettings(daemon, "yes");
  }

  async #addProxy(name: string, port: number): Promise<void> {
    if (this.#plan.proxied !== true) return;
    const proxy = new FaultProxy({ host: "127.0.0.1", port });
    await proxy.start();
    this.proxies.set(name, proxy);
  }

  /** Address at which other daemons reach a daemon. */
  #findAddress(name: string): string {
    const [listen] = this.#ports.get(name) ?? [];
    return this.proxies.get(name)?.address ?? `127.0.0.1:${listen}`;
  }

  #writeSettings(daemon: SiteDaemon, firstStart: "yes" | "no"): void {
    const [listen, health, callers, operators] = this.#ports.get(daemon.name) ??
      [];
    const isGateway = this.gateways.includes(daemon);
    const number = this.daemons.indexOf(daemon);
    const text = formatSettings({
      daemon: {
        name: daemon.name,
        roles: isGateway ? this.#plan.gatewayRoles ?? "gateway" : "store",
        failure_domain: findFailureDomain(number),
        health_listen: `127.0.0.1:${health}`,
        stop_milliseconds: this.#plan.stopMilliseconds ?? 20_000,
      },
      network: {
        listen: `127.0.0.1:${listen}`,
        advertise: this.#findAddress(daemon.name),
        // A unique key excludes daemons that an interrupted run left behind.
        shared_key: `${SITE_KEY}-${this.#key}`,
        seeds: this.#seeds,
        directory_milliseconds: this.#plan.directoryMilliseconds ?? 200,
        ...(this.#plan.maxFrameBytes === undefined
          ? {}
          : { max_frame_bytes: this.#plan.maxFrameBytes }),
      },
      gateway: {
        callers_listen: `127.0.0.1:${callers}`,
        operators_listen: `127.0.0.1:${operators}`,
        drain_milliseconds: 300,
        leader_wait_milliseconds: this.#plan.waitMilliseconds ?? 5_000,
        ...this.#plan.gatewaySettings,
      },
      store: {
        data_folder: daemon.dataFolder,
        first_start: firstStart,
        tolerance: this.#plan.tolerance ?? (this.stores.length === 1 ? 0 : 1),
        list_address: this.#listPath,
        list_milliseconds: this.#plan.listMilliseconds ?? 100,
      },
    }, {});
    writeFileSync(join(this.#plan.folder, `${daemon.name}.ini`), text);
  }
}

function createDaemon(
  folder: string,
  name: string,
  details: {
    readonly ports: readonly number[];
    readonly preload: string | undefined;
    readonly nodeOptions: readonly string[];
  },
): SiteDaemon {
  const [, health, callers, operators] = details.ports;
  return {
    name,
    dataFolder: join(folder, `${name}-data`),
    callersUrl: `http://127.0.0.1:${callers}`,
    operatorsUrl: `http://127.0.0.1:${operators}`,
    healthUrl: `http://127.0.0.1:${health}/healthz`,
    process: new ManagedProcess({
      name,
      script: require.resolve("@mallowlift/daemon/bin/mallowlift.js"),
      scriptArguments: ["--settings", join(folder, `${name}.ini`)],
      logPath: join(folder, `${name}.log`),
      nodeOptions: details.nodeOptions,
      ...(details.preload === undefined ? {} : { preload: details.preload }),
    }),
  };
}

async function isReady(daemon: SiteDaemon): Promise<boolean> {
  return await fetchHealth(daemon) === true;
}

/** True if a daemon is ready, false if not; undefined if it does not answer. */
async function fetchHealth(daemon: SiteDaemon): Promise<boolean | undefined> {
  try {
    const answer = await fetch(daemon.healthUrl, {
      signal: AbortSignal.timeout(HEALTH_MILLISECONDS),
    });
    await answer.arrayBuffer();
    return answer.ok;
  } catch {
    // The daemon is down, frozen, or still starting.
    return undefined;
  }
}

/** Runs a small site on the loopback address, each daemon in its own process. */

import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { hashText, sleep } from "@mallowlift/core";
import { FaultProxy } from "@mallowlift/mocks";
import Wreck from "@hapi/wreck";
import { findFreePorts } from "./free_ports.ts";
import { ManagedProcess } from "./managed_process.ts";
import {
  type DaemonPlan,
  DEFAULT_SITE,
  findFailureDomain,
  formatSettings,
  OPERATOR_TOKEN,
  type SettingsSections,
  SITE_KEY,
  type SitePlan,
} from "./site_plan.ts";

const HOST = "127.0.0.1";
const DAEMON_SCRIPT = require.resolve("@mallowlift/daemon/bin/mallowlift.js");
const HEALTHY_TIMEOUT_MILLISECONDS = 30_000;
const HEALTH_POLL_MILLISECONDS = 50;

/** Addresses of the upstreams that the sidecars serve. */
export interface SiteUpstreams {
  readonly engineUrls: readonly string[];
  readonly serviceUrls: readonly string[];
}

/** A fault-injecting proxy on the link from one daemon to another. */
export interface SiteProxy {
  readonly source: string;
  readonly target: string;
  readonly proxy: FaultProxy;
}

/** One daemon of a running site. */
export interface SiteDaemon {
  readonly plan: DaemonPlan;
  readonly process: ManagedProcess;
}

/** A site of entries, replicas and sidecars. */
export class Site {
  readonly plan: SitePlan;
  readonly proxies: SiteProxy[] = [];
  readonly #daemons = new Map<string, SiteDaemon>();
  readonly #httpPorts: number[] = [];

  constructor(plan: Partial<SitePlan>) {
    this.plan = { ...DEFAULT_SITE, ...plan };
  }

  /** All daemons. */
  get daemons(): readonly SiteDaemon[] {
    return [...this.#daemons.values()];
  }

  /** HTTP addresses of the entries. */
  get entryUrls(): readonly string[] {
    return this.#httpPorts.map((port) => `http://${HOST}:${port}`);
  }

  /** Returns a daemon by its name, such as replica-1. */
  get(name: string): SiteDaemon {
    const daemon = this.#daemons.get(name);
    if (daemon === undefined) throw new Error(`The site has no daemon ${name}`);
    return daemon;
  }

  /** Returns the data folder of a replica. */
  findDataFolder(name: string): string {
    return join(this.plan.folder, "data", name);
  }

  /** Deletes the data of a replica, which must not be running. */
  deleteData(name: string): void {
    rmSync(this.findDataFolder(name), { recursive: true, force: true });
  }

  /** Writes all settings and starts all daemons without waiting until they are healthy. */
  async start(upstreams: SiteUpstreams): Promise<void> {
    for (const folder of ["settings", "logs", "data"]) {
      mkdirSync(join(this.plan.folder, folder), { recursive: true });
    }
    await this.#planDaemons(upstreams);
    for (const daemon of this.#daemons.values()) daemon.process.start();
  }

  /**
   * Waits until the named daemons, or all daemons, are healthy; throws after 30
   * seconds.
   */
  async waitUntilHealthy(names?: readonly string[]): Promise<void> {
    const deadline = Date.now() + HEALTHY_TIMEOUT_MILLISECONDS;
    const wanted = names ?? [...this.#daemons.keys()];
    for (const name of wanted) {
      while (!await this.isHealthy(name)) {
        if (Date.now() > deadline) {
          throw new Error(`Daemon ${name} did not become healthy`);
        }
        await sleep(HEALTH_POLL_MILLISECONDS);
      }
    }
  }

  /** Returns true if the daemon's health endpoint answers with 200. */
  async isHealthy(name: string): Promise<boolean> {
    const { healthPort } = this.get(name).plan;
    try {
      const answer = await Wreck.request(
        "GET",
        `http://${HOST}:${healthPort}/healthz`,
        {
          timeout: 1_000,
        },
      );
      answer.resume();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Reads the metrics of a daemon as text. */
  async readMetrics(name: string): Promise<string> {
    const { healthPort } = this.get(name).plan;
    const answer = await Wreck.get(`http://${HOST}:${healthPort}/metrics`);
    return String(answer.payload);
  }

  /** Returns the proxies on links to and from a daemon. */
  listProxies(name: string): readonly SiteProxy[] {
    return this.proxies.filter((known) =>
      known.source === name || known.target === name
    );
  }

  /** Stops all daemons, entries first so that no request is interrupted. */
  async stop(): Promise<void> {
    for (const role of ["entry", "sidecar", "replica"]) {
      const stopping = this.daemons.filter((daemon) =>
        daemon.plan.role === role
      );
      await Promise.all(stopping.map((daemon) => daemon.process.stop()));
    }
    for (const { proxy } of this.proxies) await proxy.stop();
  }

  /** Kills all daemons with SIGKILL. */
  async kill(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.process.kill()));
    for (const { proxy } of this.proxies) await proxy.stop();
  }

  async #planDaemons(upstreams: SiteUpstreams): Promise<void> {
    const { plan } = this;
    const replicaCount = plan.replicas + plan.standbys;
    const sidecarCount = plan.engines + plan.services;
    const total = 2 * (replicaCount + plan.entries + sidecarCount) +
      plan.entries;
    const ports = [...await findFreePorts(total)];
    const takePort = () => ports.pop() ?? 0;
    const replicaPorts: number[] = [];
    for (let number = 1; number <= replicaCount; number++) {
      replicaPorts.push(takePort());
    }
    for (let number = 1; number <= replicaCount; number++) {
      const listenPort = replicaPorts[number - 1] ?? 0;
      const name = `replica-${number}`;
      const standby = number > plan.replicas ? "yes" : "no";
      const replica = {
        id: name,
        data_folder: this.findDataFolder(name),
        standby,
      };
      await this.#addDaemon({
        name,
        role: "replica",
        listenPort,
        healthPort: takePort(),
      }, {
        number,
        replicaPorts,
        sections: { replica },
      });
    }
    for (let number = 1; number <= sidecarCount; number++) {
      const isEngine = number <= plan.engines;
      const position = isEngine ? number : number - plan.engines;
      const name = isEngine ? `engine-${position}` : `stakes-${position}`;
      const urls = isEngine ? upstreams.engineUrls : upstreams.serviceUrls;
      const sidecar = {
        upstream: name,
        type: isEngine ? "model" : "service",
        service: isEngine ? "none" : "stake-records",
        upstream_url: urls[position - 1] ?? "",
      };
      await this.#addDaemon(
        {
          name,
          role: "sidecar",
          listenPort: takePort(),
          healthPort: takePort(),
        },
        { number, replicaPorts, sections: { sidecar } },
      );
    }
    for (let number = 1; number <= plan.entries; number++) {
      const httpPort = plan.httpPorts[number - 1] ?? takePort();
      this.#httpPorts.push(httpPort);
      const entry = {
        http_listen: `${HOST}:${httpPort}`,
        operator_token_sha256: hashText(OPERATOR_TOKEN),
      };
      await this.#addDaemon(
        {
          name: `entry-${number}`,
          role: "entry",
          listenPort: takePort(),
          healthPort: takePort(),
        },
        { number, replicaPorts, sections: { entry } },
      );
    }
  }

  async #addDaemon(
    daemon: Omit<DaemonPlan, "sections">,
    details: {
      readonly number: number;
      readonly replicaPorts: readonly number[];
      readonly sections: SettingsSections;
    },
  ): Promise<void> {
    const { name, role, listenPort, healthPort } = daemon;
    const sections: SettingsSections = {
      daemon: {
        name,
        roles: role,
        failure_domain: findFailureDomain(details.number),
        health_listen: `${HOST}:${healthPort}`,
      },
      network: {
        listen: `${HOST}:${listenPort}`,
        ...await this.#planAdvertise(daemon),
        shared_key: SITE_KEY,
        program_groups: this.plan.programGroups,
        replicas: await this.#planReplicas(name, details.replicaPorts),
      },
      ...details.sections,
    };
    const settingsPath = join(this.plan.folder, "settings", `${name}.ini`);
    writeFileSync(settingsPath, formatSettings(sections, this.plan.overrides));
    const process = new ManagedProcess({
      name,
      script: DAEMON_SCRIPT,
      scriptArguments: ["--settings", settingsPath],
      logPath: join(this.plan.folder, "logs", `${name}.log`),
    });
    this.#daemons.set(name, { plan: { ...daemon, sections }, process });
  }

  /**
   * Returns the replica addresses for one daemon. In a proxied site each daemon
   * has its own proxy to each replica, so that a single link can be cut.
   */
  async #planReplicas(
    source: string,
    replicaPorts: readonly number[],
  ): Promise<string> {
    const parts: string[] = [];
    for (
      const [position, port] of replicaPorts.slice(0, this.plan.replicas)
        .entries()
    ) {
      const target = `replica-${position + 1}`;
      const address = this.plan.proxied && target !== source
        ? await this.#addProxy({ source, target, port })
        : `${HOST}:${port}`;
      parts.push(`${target}=${address}`);
    }
    return parts.join(",");
  }

  async #planAdvertise(
    daemon: Omit<DaemonPlan, "sections">,
  ): Promise<Readonly<Record<string, string>>> {
    if (!this.plan.proxied || daemon.role !== "sidecar") return {};
    const { name: target, listenPort: port } = daemon;
    return { advertise: await this.#addProxy({ source: "", target, port }) };
  }

  async #addProxy(link: {
    readonly source: string;
    readonly target: string;
    readonly port: number;
  }): Promise<string> {
    const proxy = new FaultProxy({ host: HOST, port: link.port });
    await proxy.start();
    this.proxies.push({ source: link.source, target: link.target, proxy });
    return proxy.address;
  }
}

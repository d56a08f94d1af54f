/**
 * Simulates many daemons in one process: configuration followers and reporting
 * sidecars, each with its own connections.
 */

import { ConfigurationFollower } from "@mallowlift/configuration";
import {
  createMetrics,
  type Metrics,
  type SidecarReport,
  SILENT_LOGGER,
  sleep,
} from "@mallowlift/core";
import { Reporter } from "@mallowlift/sidecar";
import { PeerLinks } from "@mallowlift/transport";
import type { Site } from "../site/site.ts";
import { SITE_KEY } from "../site/site_plan.ts";

const POLL_HOLD_MILLISECONDS = 1_000;
const REPORT_MILLISECONDS = 500;
const IN_FORCE_TIMEOUT_MILLISECONDS = 30_000;

interface SimulatedDaemon {
  readonly links: PeerLinks;
  stop(): void;
}

/** Simulated daemons that only follow the configuration or only send reports. */
export class SimulatedDaemons {
  readonly #site: Site;
  readonly #metrics: Metrics = createMetrics();
  readonly #daemons: SimulatedDaemon[] = [];
  readonly #followers: ConfigurationFollower[] = [];

  constructor(site: Site) {
    this.#site = site;
  }

  /** Adds followers up to the given count. */
  growFollowers(count: number): void {
    while (this.#followers.length < count) {
      const name = `crowd-${this.#followers.length}`;
      const links = this.#createLinks(name);
      const follower = new ConfigurationFollower({
        daemonId: name,
        bootId: name,
        replicas: this.#listReplicas(links),
        holdMilliseconds: POLL_HOLD_MILLISECONDS,
        logger: SILENT_LOGGER,
        metrics: this.#metrics,
      });
      follower.start();
      this.#followers.push(follower);
      this.#daemons.push({ links, stop: () => follower.stop() });
    }
  }

  /** Adds reporting sidecars until the count of simulated daemons is reached. */
  growReporters(count: number): void {
    while (this.#daemons.length < count) {
      const name = `crowd-${this.#daemons.length}`;
      const links = this.#createLinks(name);
      const reporter = new Reporter({
        replicas: this.#listReplicas(links),
        reportMilliseconds: REPORT_MILLISECONDS,
        createReport: () => createReport(name),
        logger: SILENT_LOGGER,
      });
      reporter.start();
      this.#daemons.push({ links, stop: () => reporter.stop() });
    }
  }

  /** Returns the milliseconds until every follower has applied a revision, at most about 30 s. */
  async measureInForce(revision: number): Promise<number> {
    const startedAt = performance.now();
    const isInForce = () =>
      this.#followers.every((follower) => follower.view.revision >= revision);
    while (
      !isInForce() &&
      performance.now() - startedAt < IN_FORCE_TIMEOUT_MILLISECONDS
    ) await sleep(5);
    return performance.now() - startedAt;
  }

  /** Stops all simulated daemons and closes their connections. */
  stop(): void {
    for (const daemon of this.#daemons) {
      daemon.stop();
      daemon.links.stop();
    }
  }

  #createLinks(name: string): PeerLinks {
    return new PeerLinks({
      name,
      sharedKey: SITE_KEY,
      maxFrameBytes: 16_777_216,
      connectMilliseconds: 5_000,
    });
  }

  #listReplicas(links: PeerLinks) {
    const replicas = this.#site.daemons.filter((daemon) =>
      daemon.plan.role === "replica"
    );
    return replicas.map((replica) =>
      links.get(`127.0.0.1:${replica.plan.listenPort}`)
    );
  }
}

function createReport(sidecarId: string): SidecarReport {
  return {
    sidecarId,
    bootId: "00000000-0000-4000-8000-000000000000",
    address: "127.0.0.1:1",
    failureDomain: "hall-kawah",
    type: "model",
    service: "none",
    models: ["field-guide"],
    draining: true,
    running: 8,
    queued: 0,
    slots: 16,
    queueLimit: 64,
    stepMilliseconds: 5,
    cacheChanges: [],
    revision: 1,
  };
}

/** Many followers and reporters in one process, each with connections of its own. */

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

const HOLD_MILLISECONDS = 1_000;
const REPORT_MILLISECONDS = 500;
const IN_FORCE_MILLISECONDS = 30_000;

interface Member {
  readonly links: PeerLinks;
  stop(): void;
}

/** Daemons that only follow the configuration, or only report. */
export class Crowd {
  readonly #site: Site;
  readonly #metrics: Metrics = createMetrics();
  readonly #members: Member[] = [];
  readonly #followers: ConfigurationFollower[] = [];

  constructor(site: Site) {
    this.#site = site;
  }

  /** Adds followers until there are so many. */
  growFollowers(count: number): void {
    while (this.#followers.length < count) {
      const name = `crowd-${this.#followers.length}`;
      const links = this.#createLinks(name);
      const follower = new ConfigurationFollower({
        daemonId: name,
        bootId: name,
        replicas: this.#listReplicas(links),
        holdMilliseconds: HOLD_MILLISECONDS,
        logger: SILENT_LOGGER,
        metrics: this.#metrics,
      });
      follower.start();
      this.#followers.push(follower);
      this.#members.push({ links, stop: () => follower.stop() });
    }
  }

  /** Adds reporting sidecars until there are so many. */
  growReporters(count: number): void {
    while (this.#members.length < count) {
      const name = `crowd-${this.#members.length}`;
      const links = this.#createLinks(name);
      const reporter = new Reporter({
        replicas: this.#listReplicas(links),
        reportMilliseconds: REPORT_MILLISECONDS,
        createReport: () => createReport(name),
        logger: SILENT_LOGGER,
      });
      reporter.start();
      this.#members.push({ links, stop: () => reporter.stop() });
    }
  }

  /** Milliseconds until every follower has a revision in force. */
  async measureInForce(revision: number): Promise<number> {
    const startedAt = performance.now();
    const isInForce = () =>
      this.#followers.every((follower) => follower.view.revision >= revision);
    while (
      !isInForce() && performance.now() - startedAt < IN_FORCE_MILLISECONDS
    ) await sleep(5);
    return performance.now() - startedAt;
  }

  /** Ends all members. */
  stop(): void {
    for (const member of this.#members) {
      member.stop();
      member.links.stop();
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

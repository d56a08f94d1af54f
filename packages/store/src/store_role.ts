/** Runs the store role: the consensus group of the site and its handlers. */

import { performance } from "node:perf_hooks";
import { type GroupDefinition, ReplicaGroups } from "@mallowlift/consensus";
import {
  type Child,
  type Logger,
  type Metrics,
  type Settings,
  WakeSignal,
} from "@mallowlift/core";
import type { Directory, DirectoryTask } from "@mallowlift/membership";
import { SiteState } from "@mallowlift/sessions";
import type { HandlerTable, PeerLinks } from "@mallowlift/transport";
import { InstanceReader } from "./instance_reader.ts";
import type { InstanceSourceFactory } from "./instance_source.ts";
import { SiteOwner } from "./site_owner.ts";
import { createStoreHandlers } from "./store_app.ts";
import { StoreReplicas } from "./store_replicas.ts";

const SITE_GROUP = 0;

/** Dependencies of a {@linkcode StoreRole}. */
export interface StoreRoleOptions {
  readonly settings: Settings;
  readonly getAddress: () => string;
  readonly links: PeerLinks;
  readonly directory: Directory;
  readonly task: DirectoryTask;
  readonly createSource: InstanceSourceFactory;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A store that replicates the state of the site. */
export class StoreRole implements Child {
  readonly name = "store";
  /** After a failed write the content of the disk is unknown. */
  readonly isFatal = true;
  readonly #groups: ReplicaGroups;
  readonly #owner: SiteOwner;
  readonly #reader: InstanceReader;

  constructor(options: StoreRoleOptions) {
    const { settings, logger, metrics, links, directory, task } = options;
    const { store, daemon } = settings;
    const state = new SiteState();
    const changed = new WakeSignal();
    const replicas = new StoreReplicas({
      directory,
      task,
      state,
      tolerance: store.tolerance,
      isFirstStart: parseFlag(store.firstStart),
    }, performance.now());
    this.#reader = new InstanceReader({
      source: options.createSource(store.listAddress),
      intervalMilliseconds: store.listMilliseconds,
      logger: logger.forPart("instances"),
      metrics,
      onChange: () => changed.wake(),
    });
    this.#owner = new SiteOwner({
      state,
      changed,
      minStores: replicas.voterCount,
      getGroup: () => this.#groups.get(SITE_GROUP),
      reader: this.#reader,
      logger: logger.forPart("owner"),
      metrics,
    });
    const definition: GroupDefinition = {
      group: SITE_GROUP,
      stateMachine: state,
      listener: this.#owner,
    };
    this.#groups = new ReplicaGroups({
      replicaId: daemon.name,
      dataFolder: store.dataFolder,
      getAddress: options.getAddress,
      failureDomain: daemon.failureDomain,
      standby: false,
      replicas,
      definitions: [definition],
      links,
      timing: {
        heartbeatMilliseconds: store.heartbeatMilliseconds,
        electionMilliseconds: store.electionMilliseconds,
        snapshotEntries: store.snapshotEntries,
        standbyMilliseconds: store.replaceMilliseconds,
      },
      logger: logger.forPart("consensus"),
      metrics,
    });
  }

  /** Creates the handlers for requests of other daemons. */
  createHandlers(): HandlerTable {
    return {
      ...this.#groups.createHandlers(),
      ...createStoreHandlers(this.#owner, this.#reader),
    };
  }

  /** Rejects when the disk has become unusable. */
  get ended(): Promise<void> {
    return this.#groups.failed.then((error) => {
      throw error;
    });
  }

  /** True if the group of this store is healthy, see {@linkcode ReplicaGroups.isHealthy}. */
  isHealthy(): boolean {
    return this.#groups.isHealthy(performance.now());
  }

  /** Opens the data folder; the group starts once the site is founded. */
  async start(): Promise<void> {
    await this.#groups.open();
    void this.#groups.start();
  }

  /** Hands over the leadership, then stops. */
  async stop(): Promise<void> {
    await this.#groups.stop();
  }
}

function parseFlag(choice: string): boolean {
  return choice === "yes" || choice === "true";
}

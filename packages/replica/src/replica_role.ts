/**
 * The replica role: stores the replicated state and serves the groups that this
 * replica leads.
 */

import { performance } from "node:perf_hooks";
import { ConfigurationState } from "@mallowlift/configuration";
import {
  FixedReplicas,
  type GroupDefinition,
  ReplicaGroups,
} from "@mallowlift/consensus";
import type {
  Child,
  Logger,
  Metrics,
  ReplicaStatus,
  Settings,
} from "@mallowlift/core";
import { ProgramState } from "@mallowlift/programs";
import { createPlacementPolicy } from "@mallowlift/scheduling";
import type { HandlerTable, PeerLinks } from "@mallowlift/transport";
import { ConfigurationOwner } from "./configuration/configuration_owner.ts";
import { ProgramOwner } from "./programs/program_owner.ts";
import { createReplicaHandlers } from "./replica_app.ts";
import { Placement } from "./sidecars/placement.ts";
import { SidecarDirectory } from "./sidecars/sidecar_directory.ts";

const CONFIGURATION_GROUP = 0;

/** Dependencies of the replica role. */
export interface ReplicaRoleOptions {
  readonly settings: Settings;
  /** Returns the address at which other daemons reach this one. */
  readonly getAddress: () => string;
  readonly links: PeerLinks;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The replica role of a daemon. */
export class ReplicaRole implements Child {
  readonly name = "replica";
  /**
   * The process must end after a failed write, because the contents of the disk
   * are then unknown.
   */
  readonly isFatal = true;
  readonly #options: ReplicaRoleOptions;
  readonly #directory: SidecarDirectory;
  readonly #state = new ConfigurationState();
  readonly #configuration: ConfigurationOwner;
  readonly #owners: ProgramOwner[] = [];
  readonly #definitions: GroupDefinition[] = [];
  #groups: ReplicaGroups | undefined;
  #startedAt = Infinity;

  constructor(options: ReplicaRoleOptions) {
    const { settings, links, metrics } = options;
    const { replica, network } = settings;
    this.#options = options;
    this.#directory = new SidecarDirectory(links, replica.reportMilliseconds);
    this.#configuration = new ConfigurationOwner({
      state: this.#state,
      getGroup: () => this.#groups?.get(CONFIGURATION_GROUP),
    });
    this.#definitions.push({
      group: CONFIGURATION_GROUP,
      stateMachine: this.#state,
      listener: this.#configuration,
    });
    const placement = new Placement(
      this.#directory,
      createPlacementPolicy(replica),
    );
    for (let group = 1; group <= network.programGroups; group++) {
      const state = new ProgramState();
      const owner = new ProgramOwner({
        group,
        state,
        getGroup: () => this.#groups?.get(group),
        placement,
        directory: this.#directory,
        limits: replica,
        logger: options.logger.forPart("owner"),
        metrics,
      });
      this.#owners.push(owner);
      this.#definitions.push({ group, stateMachine: state, listener: owner });
    }
  }

  /** Creates the groups and the handlers for requests of other daemons. */
  createHandlers(): HandlerTable {
    const groups = this.#createGroups();
    this.#groups = groups;
    return {
      ...groups.createHandlers(),
      ...createReplicaHandlers({
        configuration: this.#configuration,
        owners: this.#owners,
        directory: this.#directory,
        getStatus: () => this.#getStatus(groups),
      }),
    };
  }

  /** Rejects when the disk can no longer be used. */
  get ended(): Promise<void> {
    const groups = this.#groups;
    if (groups === undefined) return Promise.resolve();
    return groups.failed.then((error) => {
      throw error;
    });
  }

  /**
   * Returns true if this replica is healthy in every group, that is, a member in
   * recent contact with the leader (see {@linkcode ReplicaGroups.isHealthy}), and
   * if every live sidecar has had time to report. An owner that does not know the
   * sidecars would reject the calls that it takes over.
   */
  isHealthy(): boolean {
    const now = performance.now();
    const { reportMilliseconds } = this.#options.settings.replica;
    if (now - this.#startedAt < reportMilliseconds) return false;
    return this.#groups?.isHealthy(now) ?? false;
  }

  /** Opens the data folder. The groups start once the site has been founded. */
  async start(): Promise<void> {
    const groups = this.#groups;
    if (groups === undefined) throw new Error("createHandlers was not called");
    await groups.open();
    this.#startedAt = performance.now();
    void groups.start();
  }

  /** Hands over the leadership of all groups, then stops. */
  async stop(): Promise<void> {
    await this.#groups?.stop();
  }

  #createGroups(): ReplicaGroups {
    const { settings, links, logger, metrics, getAddress } = this.#options;
    const { replica, network, daemon } = settings;
    return new ReplicaGroups({
      replicaId: replica.id,
      dataFolder: replica.dataFolder,
      getAddress,
      failureDomain: daemon.failureDomain,
      standby: replica.standby === "yes",
      replicas: new FixedReplicas(network.replicas),
      definitions: this.#definitions,
      links,
      timing: replica,
      logger: logger.forPart("consensus"),
      metrics,
    });
  }

  #getStatus(groups: ReplicaGroups): ReplicaStatus {
    const now = performance.now();
    const { replica, daemon } = this.#options.settings;
    let openCalls = 0;
    let programs = 0;
    for (const owner of this.#owners) {
      openCalls += owner.openCalls;
      programs += owner.programCount;
    }
    return {
      replicaId: replica.id,
      incarnation: groups.incarnation,
      failureDomain: daemon.failureDomain,
      groups: groups.describe(now),
      sidecars: this.#directory.listStatuses(Date.now()),
      followers: this.#configuration.listFollowers(now),
      revision: this.#state.revision,
      openCalls,
      programs,
    };
  }
}

/**
 * Runs all groups of one replica: founds or joins the site, starts the groups
 * and their membership tasks, and serves the requests of other replicas.
 */

import { mkdirSync } from "node:fs";
import {
  ABORTED,
  fail,
  type FoundingState,
  type GroupStatus,
  type JoinRequest,
  type Logger,
  type Member,
  MEMBER_ROLES,
  type Metrics,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import type { HandlerTable, PeerLinks } from "@mallowlift/transport";
import { Ok } from "ts-results";
import { decideFounding, type FoundingDecision } from "./founding/founding.ts";
import type { ReplicaSource } from "./founding/replica_source.ts";
import type { GroupTiming } from "./group/group_options.ts";
import { admitMember, maintainMembership } from "./group/joining.ts";
import { maintainMembers } from "./group/maintain_members.ts";
import { ReplicatedGroup } from "./group/replicated_group.ts";
import type {
  LeadershipListener,
  StateMachine,
} from "./group/state_machine.ts";
import { DataFolder } from "./storage/data_folder.ts";
import { waitUntilWritable } from "./storage/wait_until_writable.ts";

/** One group: its state machine, and the listener for changes of leadership. */
export interface GroupDefinition {
  readonly group: number;
  readonly stateMachine: StateMachine;
  readonly listener: LeadershipListener;
}

/** Options of {@linkcode ReplicaGroups}. */
export interface ReplicaGroupsOptions {
  readonly replicaId: string;
  readonly dataFolder: string;
  /** Returns the address at which other replicas reach this one. */
  readonly getAddress: () => string;
  readonly failureDomain: string;
  readonly standby: boolean;
  readonly replicas: ReplicaSource;
  readonly definitions: readonly GroupDefinition[];
  readonly links: PeerLinks;
  readonly timing: GroupTiming;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The groups of one replica. */
export class ReplicaGroups {
  readonly #options: ReplicaGroupsOptions;
  readonly #groups = new Map<number, ReplicatedGroup>();
  readonly #stopped = new AbortController();
  #folder: DataFolder | undefined;
  #starting: Promise<void> | undefined;
  /** How this replica founded or joined the site; set once it is decided in this process. */
  #foundingDecision: FoundingDecision | undefined;

  constructor(options: ReplicaGroupsOptions) {
    this.#options = options;
  }

  /** Opens the data folder; throws if it is damaged. */
  async open(): Promise<void> {
    mkdirSync(this.#options.dataFolder, { recursive: true });
    await waitUntilWritable(this.#options.dataFolder, {
      signal: this.#stopped.signal,
      onWriteFailure: (reason) =>
        this.#options.logger.warn("Data folder is not writable, retrying", {
          reason,
        }),
    });
    this.#folder = await DataFolder.open(this.#options.dataFolder, {
      replicaId: this.#options.replicaId,
      groups: this.#options.definitions.map((definition) => definition.group),
    });
  }

  /** Founds or joins the site if the folder is empty, then starts the groups. */
  async start(): Promise<void> {
    this.#starting = this.#startGroups();
    await this.#starting;
  }

  async #startGroups(): Promise<void> {
    const folder = this.#getFolder();
    if (!folder.isFounded && !await this.#foundOrJoin(folder)) return;
    if (this.#stopped.signal.aborted) return;
    for (const definition of this.#options.definitions) {
      const group = this.#createGroup(definition, folder);
      this.#groups.set(definition.group, group);
      group.start();
      this.#startTasks(group, folder);
    }
  }

  #startTasks(group: ReplicatedGroup, folder: DataFolder): void {
    const { replicas, timing, links, logger } = this.#options;
    const { signal } = this.#stopped;
    const { identity } = folder;
    void maintainMembers(group, { identity, replicas, timing, logger, signal });
    const self = this.#describeSelf(folder);
    void maintainMembership(group, { self, replicas, links, timing, signal });
  }

  /** Incarnation of the data folder. */
  get incarnation(): string {
    return this.#folder?.identity.incarnation ?? "";
  }

  /** True once this replica knows that the site was founded. */
  get isSiteFounded(): boolean {
    // A replica that has joined since its start must report the site as founded
    // too. If no replica did, an empty one would found the site a second time.
    return this.#getFolder().isFounded || this.#foundingDecision !== undefined;
  }

  /** Resolves with the error of a write or sync after which the log can't be used. */
  get failed(): Promise<Error> {
    return this.#getFolder().log.failed;
  }

  /** Returns a group; undefined if it has not started. */
  get(group: number): ReplicatedGroup | undefined {
    return this.#groups.get(group);
  }

  /**
   * True if this replica is healthy in every group; see
   * {@linkcode ReplicatedGroup.isHealthy}.
   */
  isHealthy(now: number): boolean {
    if (this.#groups.size === 0) return false;
    for (const group of this.#groups.values()) {
      if (!group.isHealthy(now)) return false;
    }
    return true;
  }

  /** Returns the status of all groups. */
  describe(now: number): readonly GroupStatus[] {
    return [...this.#groups.values()].map((group) => group.describe(now));
  }

  /** Hands over all leaderships, then stops after any pending start has ended. */
  async stop(): Promise<void> {
    const groups = [...this.#groups.values()];
    await Promise.all(groups.map((group) => group.handOver()));
    this.#stopped.abort(ABORTED);
    // The caller of start() receives the error of a failed start.
    await Promise.allSettled([this.#starting]);
    for (const group of this.#groups.values()) group.stop();
    await this.#folder?.close();
  }

  /** Returns the handlers of requests from other replicas. */
  createHandlers(): HandlerTable {
    return {
      "consensus.vote": (request) =>
        this.#withGroup(request.group, (group) => group.handleVote(request)),
      "consensus.append": (request) =>
        this.#withGroup(request.group, (group) => group.handleAppend(request)),
      "consensus.snapshot": (request) =>
        this.#withGroup(
          request.group,
          (group) => group.handleSnapshot(request),
        ),
      "consensus.handover": (request) =>
        this.#withGroup(
          request.group,
          (group) => group.handleHandover(request),
        ),
      "consensus.join": (request) =>
        this.#withGroup(
          request.group,
          (group) => this.#handleJoin(group, request),
        ),
      "consensus.founding": () => Promise.resolve(Ok(this.#describeFounding())),
    };
  }

  async #withGroup<T>(
    number: number,
    handle: (group: ReplicatedGroup) => Promise<Outcome<T>>,
  ): Promise<Outcome<T>> {
    const group = this.#groups.get(number);
    if (group !== undefined) return await handle(group);
    return fail(
      RESULT_CODES.NOT_LEADER,
      "Group has not started on this replica",
    );
  }

  #getFolder(): DataFolder {
    if (this.#folder === undefined) {
      throw new Error("Data folder is not open");
    }
    return this.#folder;
  }

  #describeSelf(folder: DataFolder): Member {
    const { getAddress, failureDomain, standby } = this.#options;
    const address = getAddress();
    const role = standby ? MEMBER_ROLES.STANDBY : MEMBER_ROLES.LEARNER;
    return { ...folder.identity, role, address, failureDomain };
  }

  async #foundOrJoin(folder: DataFolder): Promise<boolean> {
    const { logger, replicas, definitions } = this.#options;
    const decision = await decideFounding({
      self: this.#describeSelf(folder),
      replicas,
      findPeer: (address) => this.#options.links.get(address),
      logger,
      signal: this.#stopped.signal,
    });
    if (decision.action === "stop") return false;
    this.#foundingDecision = decision;
    logger.info(
      decision.action === "found" ? "Founding the site" : "Joining the site",
    );
    if (decision.action === "join") return true;
    for (const { group } of definitions) {
      await folder.saveFounding(group, decision.members);
    }
    return true;
  }

  #createGroup(
    definition: GroupDefinition,
    folder: DataFolder,
  ): ReplicatedGroup {
    const { links, timing, logger, metrics, replicas } = this.#options;
    return new ReplicatedGroup({
      ...definition,
      identity: folder.identity,
      folder,
      findPeer: (member) => links.get(this.#findAddress(member)),
      timing,
      voterCount: replicas.voterCount,
      logger: logger.forPart("consensus"),
      metrics,
    });
  }

  /** Returns the configured address of a member, or else the address that it joined with. */
  #findAddress(member: Member): string {
    const { replicas } = this.#options;
    const configured = replicas.list().find((replica) =>
      replica.replicaId === member.replicaId
    );
    return configured?.address ?? member.address;
  }

  #describeFounding(): FoundingState {
    const folder = this.#getFolder();
    const group = this.#options.definitions[0]?.group ?? 0;
    const snapshot = folder.getStored(group).snapshot;
    return {
      identity: folder.identity,
      failureDomain: this.#options.failureDomain,
      founded: this.isSiteFounded,
      // The decision is made before the founding is written to the folder.
      foundingMembers: snapshot?.lastIndex === 0
        ? snapshot.members
        : this.#foundingDecision?.members ?? [],
      mayFound: this.#options.replicas.mayFound,
    };
  }

  async #handleJoin(
    group: ReplicatedGroup,
    request: JoinRequest,
  ): Promise<Outcome<Record<string, never>>> {
    const retiring = this.#options.replicas.listRetiringIncarnations();
    if (retiring.has(request.member.incarnation)) {
      return fail(RESULT_CODES.DRAINING, "This replica is being retired");
    }
    return await admitMember(group, request);
  }
}

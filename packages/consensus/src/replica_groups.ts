/** All groups of one replica: founding, joining, keeping members, handlers. */

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
import { keepJoined, takeIn } from "./group/joining.ts";
import { keepMembers } from "./group/keep_members.ts";
import { ReplicatedGroup } from "./group/replicated_group.ts";
import type {
  LeadershipListener,
  StateMachine,
} from "./group/state_machine.ts";
import { DataFolder } from "./storage/data_folder.ts";
import { waitUntilWritable } from "./storage/wait_until_writable.ts";

/** What one group replicates, and who hears of its leadership. */
export interface GroupDefinition {
  readonly group: number;
  readonly stateMachine: StateMachine;
  readonly listener: LeadershipListener;
}

/** What the groups of a replica need. */
export interface ReplicaGroupsOptions {
  readonly replicaId: string;
  readonly dataFolder: string;
  /** Returns the address that other replicas reach this one at. */
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
  /** Set once this replica knows that the site was founded, and by whom. */
  #founding: FoundingDecision | undefined;

  constructor(options: ReplicaGroupsOptions) {
    this.#options = options;
  }

  /** Opens the data folder; throws if it is damaged. */
  async open(): Promise<void> {
    mkdirSync(this.#options.dataFolder, { recursive: true });
    await waitUntilWritable(this.#options.dataFolder, {
      signal: this.#stopped.signal,
      onWriteFailure: (reason) =>
        this.#options.logger.warn("Waiting for the disk", { reason }),
    });
    this.#folder = await DataFolder.open(this.#options.dataFolder, {
      replicaId: this.#options.replicaId,
      groups: this.#options.definitions.map((definition) => definition.group),
    });
  }

  /** Starts the groups as soon as it is known whether to found or to join. */
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
    void keepMembers(group, { identity, replicas, timing, logger, signal });
    const self = this.#describeSelf(folder);
    void keepJoined(group, { self, replicas, links, timing, signal });
  }

  /** Incarnation of the data folder. */
  get incarnation(): string {
    return this.#folder?.identity.incarnation ?? "";
  }

  /** True once this replica knows that the site was founded. */
  get knowsFounding(): boolean {
    // A replica that has joined since its start must say so: an empty one
    // that finds nobody who knows the site would found it again.
    return this.#getFolder().isFounded || this.#founding !== undefined;
  }

  /** Resolves with the error that made the disk unusable. */
  get failed(): Promise<Error> {
    return this.#getFolder().log.failed;
  }

  /** Returns a started group. */
  get(group: number): ReplicatedGroup | undefined {
    return this.#groups.get(group);
  }

  /** True if every group counts this replica and follows a leader. */
  isHealthy(now: number): boolean {
    if (this.#groups.size === 0) return false;
    for (const group of this.#groups.values()) {
      if (!group.isHealthy(now)) return false;
    }
    return true;
  }

  /** State of all groups. */
  describe(now: number): readonly GroupStatus[] {
    return [...this.#groups.values()].map((group) => group.describe(now));
  }

  /** Passes on all leaderships, then stops; a start under way ends first. */
  async stop(): Promise<void> {
    const groups = [...this.#groups.values()];
    await Promise.all(groups.map((group) => group.handOver()));
    this.#stopped.abort(ABORTED);
    // Whoever started the groups hears of a start that failed.
    await Promise.allSettled([this.#starting]);
    for (const group of this.#groups.values()) group.stop();
    await this.#folder?.close();
  }

  /** Handlers of the replicated log. */
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
    serve: (group: ReplicatedGroup) => Promise<Outcome<T>>,
  ): Promise<Outcome<T>> {
    const group = this.#groups.get(number);
    if (group !== undefined) return await serve(group);
    return fail(RESULT_CODES.NOT_LEADER, "The group has not started here");
  }

  #getFolder(): DataFolder {
    if (this.#folder === undefined) {
      throw new Error("The data folder is not open");
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
    this.#founding = decision;
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

  /** Settings go before the address that a member had when it joined. */
  #findAddress(member: Member): string {
    const { replicas } = this.#options;
    const known = replicas.list().find((replica) =>
      replica.replicaId === member.replicaId
    );
    return known?.address ?? member.address;
  }

  #describeFounding(): FoundingState {
    const folder = this.#getFolder();
    const group = this.#options.definitions[0]?.group ?? 0;
    const snapshot = folder.getStored(group).snapshot;
    return {
      identity: folder.identity,
      failureDomain: this.#options.failureDomain,
      founded: this.knowsFounding,
      // The decision comes before the folder holds it.
      foundingMembers: snapshot?.lastIndex === 0
        ? snapshot.members
        : this.#founding?.members ?? [],
    };
  }

  async #handleJoin(
    group: ReplicatedGroup,
    request: JoinRequest,
  ): Promise<Outcome<Record<string, never>>> {
    const retiring = this.#options.replicas.listRetiring();
    if (retiring.has(request.member.incarnation)) {
      return fail(RESULT_CODES.DRAINING, "This replica is being retired");
    }
    return await takeIn(group, request);
  }
}

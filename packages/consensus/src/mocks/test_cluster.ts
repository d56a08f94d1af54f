/** A cluster of replicas in one process, connected over TCP through fault-injecting proxies. */

import { rmSync } from "node:fs";
import { join } from "node:path";
import {
  createMetrics,
  type Outcome,
  type ReplicaAddress,
  SILENT_LOGGER,
  sleep,
} from "@mallowlift/core";
import { FaultProxy, type ProxyTarget } from "@mallowlift/mocks";
import {
  type HandlerTable,
  parseAddress,
  PeerLinks,
  PeerServer,
} from "@mallowlift/transport";
import type { Applied } from "../group/applier.ts";
import type { ReplicatedGroup } from "../group/replicated_group.ts";
import { FixedReplicas } from "../founding/replica_source.ts";
import { ReplicaGroups } from "../replica_groups.ts";
import { type ListCommand, ListMachine } from "./list_machine.ts";
import { StalledDisk } from "./stalled_disk.ts";

const KEY = "test";
const GROUP = 1;
const WAIT_TIMEOUT_MILLISECONDS = 20_000;

interface Node {
  readonly machine: ListMachine;
  readonly groups: ReplicaGroups;
  readonly server: PeerServer;
  readonly links: PeerLinks;
  starting?: Promise<void>;
}

/** Options of a test cluster. */
export interface ClusterOptions {
  readonly ids: readonly string[];
  /** The ids of replicas that start as standbys, without a vote. */
  readonly standbys?: readonly string[];
  readonly snapshotEntries?: number;
}

/** Several replicas of one group. */
export class TestCluster {
  readonly ids: readonly string[];
  readonly #folder: string;
  readonly #standbys: readonly string[];
  readonly #snapshotEntries: number;
  /** Shortest election timeout, ms; a change applies to replicas that start later. */
  electionMilliseconds = 200;
  readonly #nodes = new Map<string, Node>();
  /** Proxies by `source>target`. */
  readonly #proxies = new Map<string, FaultProxy>();

  constructor(folder: string, options: ClusterOptions) {
    this.#folder = folder;
    this.ids = options.ids;
    this.#standbys = options.standbys ?? [];
    this.#snapshotEntries = options.snapshotEntries ?? 1_000;
  }

  /** Starts all replicas. */
  async start(): Promise<void> {
    for (const id of this.ids) await this.#startProxies(id);
    for (const id of this.ids) await this.startNode(id);
  }

  /** Starts one replica from its folder. */
  async startNode(id: string): Promise<void> {
    const metrics = createMetrics();
    const links = new PeerLinks({
      name: id,
      sharedKey: KEY,
      maxFrameBytes: 16_777_216,
      connectMilliseconds: 300,
    });
    const machine = new ListMachine();
    const groups = new ReplicaGroups({
      replicaId: id,
      dataFolder: join(this.#folder, id),
      getAddress: () => this.#findAddress("any", id),
      failureDomain: id,
      standby: this.#standbys.includes(id),
      replicas: new FixedReplicas(this.#listReplicas(id)),
      definitions: [{
        group: GROUP,
        stateMachine: machine,
        listener: { onLeading: () => undefined, onFollowing: () => undefined },
      }],
      links,
      timing: {
        heartbeatMilliseconds: 30,
        electionMilliseconds: this.electionMilliseconds,
        snapshotEntries: this.#snapshotEntries,
        standbyMilliseconds: 1_000,
      },
      logger: SILENT_LOGGER,
      metrics,
    });
    const handlers: HandlerTable = groups.createHandlers();
    const server = new PeerServer({
      listen: "127.0.0.1:0",
      sharedKey: KEY,
      maxFrameBytes: 16_777_216,
      handshakeMilliseconds: 1_000,
      handlers,
      logger: SILENT_LOGGER,
      metrics,
    });
    await groups.open();
    // The system chooses a new port at each start, and the proxies hide it from clients.
    this.#retarget(id, parseAddress(await server.start()));
    const node: Node = { machine, groups, server, links };
    this.#nodes.set(id, node);
    node.starting = groups.start();
  }

  /**
   * Stops one replica as in a crash: its connections end first, so that it can't
   * hand over a leadership.
   */
  async crash(id: string): Promise<void> {
    const node = this.#nodes.get(id);
    this.#nodes.delete(id);
    if (node === undefined) return;
    this.#retarget(id, undefined);
    await node.server.stop();
    node.links.stop();
    await node.groups.stop();
  }

  /** True while a replica knows that the site is founded but has not started its group. */
  isStartingAfterFounding(id: string): boolean {
    const groups = this.#nodes.get(id)?.groups;
    return groups?.isSiteFounded === true && groups.get(GROUP) === undefined;
  }

  /** Stops one replica; returns true if its start had ended before the stop did. */
  async crashDuringStart(id: string): Promise<boolean> {
    let hasStarted = false;
    void this.#nodes.get(id)?.starting?.then(() => hasStarted = true);
    await this.crash(id);
    return hasStarted;
  }

  /** Removes the data of a crashed replica. */
  deleteData(id: string): void {
    rmSync(join(this.#folder, id), { recursive: true, force: true });
  }

  /** Isolates one replica: its connections stay open but carry no data. */
  isolate(id: string): void {
    for (const [name, proxy] of this.#proxies) {
      const [source, target] = name.split(">");
      if (source === id || target === id) proxy.dropAll();
    }
  }

  /** Limits the bandwidth from one replica to each other replica. */
  limitOutgoingBandwidth(source: string, bytesPerSecond: number): void {
    for (const [name, proxy] of this.#proxies) {
      if (name.startsWith(`${source}>`)) {
        proxy.faults.bytesPerSecond = bytesPerSecond;
      }
    }
  }

  /** Limits the bandwidth from one replica to another. */
  limitBandwidth(source: string, target: string, bytesPerSecond: number): void {
    const proxy = this.#proxies.get(`${source}>${target}`);
    if (proxy !== undefined) proxy.faults.bytesPerSecond = bytesPerSecond;
  }

  /** Number of whole states that one replica has restored since its start. */
  countRestores(id: string): number {
    return this.#nodes.get(id)?.machine.restoreCount ?? 0;
  }

  /** Bytes that one replica has sent to another. */
  countBytes(source: string, target: string): number {
    return this.#proxies.get(`${source}>${target}`)?.bytesFromClients ?? 0;
  }

  /** Ends every isolation and bandwidth limit. */
  heal(): void {
    for (const proxy of this.#proxies.values()) proxy.heal();
  }

  /** Blocks the syncs of one replica's disk until the returned stall is released. */
  async stallDisk(id: string): Promise<StalledDisk> {
    return await StalledDisk.start(join(this.#folder, id));
  }

  /** Returns the commands that one replica has applied. */
  readCommands(id: string): readonly string[] {
    return this.#nodes.get(id)?.machine.commands ?? [];
  }

  /** Returns the group of one replica; undefined if it has not started. */
  getGroup(id: string): ReplicatedGroup | undefined {
    return this.#nodes.get(id)?.groups.get(GROUP);
  }

  /** Returns the ids of the replicas that consider themselves leaders. */
  listLeaders(): readonly string[] {
    return this.ids.filter((id) => this.getGroup(id)?.isLeading === true);
  }

  /** Waits until a condition is met; throws with the state of each replica after a timeout. */
  async waitFor(what: string, isMet: () => boolean): Promise<void> {
    const deadline = Date.now() + WAIT_TIMEOUT_MILLISECONDS;
    while (!isMet()) {
      if (Date.now() > deadline) {
        const state = JSON.stringify(this.#describe());
        throw new Error(`Timed out waiting for: ${what}; replicas: ${state}`);
      }
      await sleep(10);
    }
  }

  /** Waits for a leader other than the given one and returns its id. */
  async waitForLeader(except = ""): Promise<string> {
    const find = () => this.listLeaders().find((id) => id !== except);
    await this.waitFor("a leader", () => find() !== undefined);
    return find() ?? "";
  }

  /** Waits until the leader has applied the latest membership change. */
  async waitForMembershipChange(leader: string): Promise<void> {
    const isSettled = () => {
      const group = this.getGroup(leader);
      return group !== undefined &&
        group.membership.changedIndex <= group.appliedIndex;
    };
    await this.waitFor("an applied membership change", isSettled);
  }

  /** Proposes one attempt at a command at one replica. */
  async propose(
    id: string,
    command: ListCommand,
  ): Promise<Outcome<Applied> | undefined> {
    return await this.getGroup(id)?.propose(command);
  }

  /** Proposes a command to the current leader until it is committed. */
  async commit(command: string, except = ""): Promise<void> {
    for (let attempt = 1;; attempt++) {
      const leader = await this.waitForLeader(except);
      const applied = await this.propose(leader, { name: command, attempt });
      if (applied?.ok) return;
      await sleep(10);
    }
  }

  /** Calls the leader's join handler on behalf of a replica. */
  async sendJoinRequest(
    id: string,
    leader: string,
    knowsItself: boolean,
  ): Promise<Outcome<unknown>> {
    const member = this.getGroup(leader)?.membership.members
      .find((known) => known.replicaId === id);
    const join = this.#nodes.get(leader)?.groups
      .createHandlers()["consensus.join"];
    if (member === undefined || join === undefined) {
      throw new Error("Replica is not a member, or the leader is not running");
    }
    const context = {
      peer: id,
      signal: new AbortController().signal,
      ageMilliseconds: 0,
      deadlineAt: Infinity,
      sendChunk: () => undefined,
    };
    return await join({ group: GROUP, member, knowsItself }, context);
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    this.heal();
    for (const id of this.ids) await this.crash(id);
    for (const proxy of this.#proxies.values()) await proxy.stop();
  }

  #describe(): readonly unknown[] {
    return this.ids.map((id) => ({
      id,
      commands: this.readCommands(id).length,
      last: this.readCommands(id).at(-1),
      status: this.getGroup(id)?.describe(performance.now()),
    }));
  }

  async #startProxies(id: string): Promise<void> {
    for (const source of [...this.ids, "any"]) {
      const proxy = new FaultProxy();
      await proxy.start();
      this.#proxies.set(`${source}>${id}`, proxy);
    }
  }

  #retarget(id: string, target: ProxyTarget | undefined): void {
    for (const source of [...this.ids, "any"]) {
      this.#proxies.get(`${source}>${id}`)?.retarget(target);
    }
  }

  #findAddress(source: string, target: string): string {
    return this.#proxies.get(`${source}>${target}`)?.address ?? "";
  }

  #listReplicas(source: string): readonly ReplicaAddress[] {
    const founders = this.ids.filter((id) => !this.#standbys.includes(id));
    return founders.map((replicaId) => ({
      replicaId,
      address: this.#findAddress(source, replicaId),
    }));
  }
}

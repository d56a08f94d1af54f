/** Replicas in one process over real connections, each behind its own proxies. */

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
const WAIT_MILLISECONDS = 20_000;

interface Node {
  readonly machine: ListMachine;
  readonly groups: ReplicaGroups;
  readonly server: PeerServer;
  readonly links: PeerLinks;
  starting?: Promise<void>;
}

/** What a cluster is made of. */
export interface ClusterOptions {
  readonly ids: readonly string[];
  /** Those of the ids that have no vote at first. */
  readonly standbys?: readonly string[];
  readonly snapshotEntries?: number;
}

/** A few replicas of one group. */
export class TestCluster {
  readonly ids: readonly string[];
  readonly #folder: string;
  readonly #standbys: readonly string[];
  readonly #snapshotEntries: number;
  /** Least silence before an election; may be changed between two starts. */
  electionMilliseconds = 200;
  readonly #nodes = new Map<string, Node>();
  /** Proxies by source and target. */
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
    // The port is the system's choice at each start; only the proxies know it.
    this.#retarget(id, parseAddress(await server.start()));
    const node: Node = { machine, groups, server, links };
    this.#nodes.set(id, node);
    node.starting = groups.start();
  }

  /** Stops one replica without handing anything over, as after a crash. */
  async crash(id: string): Promise<void> {
    const node = this.#nodes.get(id);
    this.#nodes.delete(id);
    if (node === undefined) return;
    this.#retarget(id, undefined);
    await node.server.stop();
    node.links.stop();
    await node.groups.stop();
  }

  /** True while a replica knows how the site was founded and has not started its group. */
  isFounding(id: string): boolean {
    const groups = this.#nodes.get(id)?.groups;
    return groups?.knowsFounding === true && groups.get(GROUP) === undefined;
  }

  /** Stops one replica; returns true if its start had ended by then. */
  async crashInStart(id: string): Promise<boolean> {
    let hasStarted = false;
    void this.#nodes.get(id)?.starting?.then(() => hasStarted = true);
    await this.crash(id);
    return hasStarted;
  }

  /** Removes the data of a crashed replica. */
  loseData(id: string): void {
    rmSync(join(this.#folder, id), { recursive: true, force: true });
  }

  /** Cuts one replica off from all others, in silence. */
  isolate(id: string): void {
    for (const [name, proxy] of this.#proxies) {
      const [source, target] = name.split(">");
      if (source === id || target === id) proxy.cut();
    }
  }

  /** Lets each way from one replica take no more than so many bytes a second. */
  slowDown(source: string, bytesPerSecond: number): void {
    for (const [name, proxy] of this.#proxies) {
      if (name.startsWith(`${source}>`)) {
        proxy.faults.bytesPerSecond = bytesPerSecond;
      }
    }
  }

  /** Lets one way take no more than so many bytes a second. */
  slowWay(source: string, target: string, bytesPerSecond: number): void {
    const proxy = this.#proxies.get(`${source}>${target}`);
    if (proxy !== undefined) proxy.faults.bytesPerSecond = bytesPerSecond;
  }

  /** How often one replica took over a whole state in this life. */
  countRestores(id: string): number {
    return this.#nodes.get(id)?.machine.restores ?? 0;
  }

  /** Bytes that one replica has sent to another so far. */
  countBytes(source: string, target: string): number {
    return this.#proxies.get(`${source}>${target}`)?.bytesFromClients ?? 0;
  }

  /** Ends all cuts. */
  heal(): void {
    for (const proxy of this.#proxies.values()) proxy.heal();
  }

  /** Lets the disk of one replica answer no sync until it is released. */
  async stallDisk(id: string): Promise<StalledDisk> {
    return await StalledDisk.start(join(this.#folder, id));
  }

  /** Commands that one replica has applied. */
  readCommands(id: string): readonly string[] {
    return this.#nodes.get(id)?.machine.commands ?? [];
  }

  /** The group at one replica, once it has started there. */
  getGroup(id: string): ReplicatedGroup | undefined {
    return this.#nodes.get(id)?.groups.get(GROUP);
  }

  /** Ids of the replicas that believe they lead. */
  listLeaders(): readonly string[] {
    return this.ids.filter((id) => this.getGroup(id)?.isLeading === true);
  }

  /** Waits until a condition holds; throws after a while, with what each replica holds. */
  async waitFor(what: string, isMet: () => boolean): Promise<void> {
    const deadline = Date.now() + WAIT_MILLISECONDS;
    while (!isMet()) {
      if (Date.now() > deadline) {
        const state = JSON.stringify(this.#describe());
        throw new Error(`Did not come about: ${what}; the replicas: ${state}`);
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

  /** Waits until no change of the members is under way at a leader. */
  async waitForMembers(leader: string): Promise<void> {
    const isSettled = () => {
      const group = this.getGroup(leader);
      return group !== undefined &&
        group.membership.changedAt <= group.appliedIndex;
    };
    await this.waitFor("settled members", isSettled);
  }

  /** Proposes one attempt at a command at one replica. */
  async propose(
    id: string,
    command: ListCommand,
  ): Promise<Outcome<Applied> | undefined> {
    return await this.getGroup(id)?.propose(command);
  }

  /** Proposes a command wherever it is taken, until it is committed. */
  async commit(command: string, except = ""): Promise<void> {
    for (let attempt = 1;; attempt++) {
      const leader = await this.waitForLeader(except);
      const applied = await this.propose(leader, { name: command, attempt });
      if (applied?.ok) return;
      await sleep(10);
    }
  }

  /** Sends a join request for a replica, as that replica would. */
  async askToJoin(
    id: string,
    leader: string,
    knowsItself: boolean,
  ): Promise<Outcome<unknown>> {
    const member = this.getGroup(leader)?.membership.members
      .find((known) => known.replicaId === id);
    const join = this.#nodes.get(leader)?.groups
      .createHandlers()["consensus.join"];
    if (member === undefined || join === undefined) {
      throw new Error("The replica or the leader is not there");
    }
    const context = {
      peer: id,
      signal: new AbortController().signal,
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

/** Replicas in one process over real connections, each behind its own proxies. */

import { rmSync } from "node:fs";
import { join } from "node:path";
import { decode, encode } from "cbor-x";
import {
  createMetrics,
  type Outcome,
  type ReplicaAddress,
  SILENT_LOGGER,
  sleep,
} from "@mallowlift/core";
import { FaultProxy } from "@mallowlift/mocks";
import {
  type HandlerTable,
  parseAddress,
  PeerLinks,
  PeerServer,
} from "@mallowlift/transport";
import type { Applied } from "../group/applier.ts";
import type { ReplicatedGroup } from "../group/replicated_group.ts";
import type { StateMachine } from "../group/state_machine.ts";
import { FixedReplicas } from "../founding/replica_source.ts";
import { ReplicaGroups } from "../replica_groups.ts";

const KEY = "test";
const GROUP = 1;
const WAIT_MILLISECONDS = 20_000;

/** A state machine that remembers every command in order. */
export class ListMachine implements StateMachine {
  commands: string[] = [];

  apply(command: unknown): unknown {
    this.commands.push(String(command));
    return this.commands.length;
  }

  takeSnapshot(): readonly Uint8Array[] {
    return [encode(this.commands)];
  }

  restore(snapshot: Uint8Array): void {
    this.commands = snapshot.length === 0 ? [] : decode(snapshot) as string[];
  }
}

interface Node {
  readonly machine: ListMachine;
  readonly groups: ReplicaGroups;
  readonly server: PeerServer;
  readonly links: PeerLinks;
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
  readonly #ports = new Map<string, number>();

  constructor(folder: string, options: {
    readonly ids: readonly string[];
    readonly standbys?: readonly string[];
    readonly snapshotEntries?: number;
  }) {
    this.#folder = folder;
    this.ids = options.ids;
    this.#standbys = options.standbys ?? [];
    this.#snapshotEntries = options.snapshotEntries ?? 1_000;
  }

  /** Starts all replicas. */
  async start(): Promise<void> {
    for (const id of this.ids) await this.#reserve(id);
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
      listen: `127.0.0.1:${this.#ports.get(id) ?? 0}`,
      sharedKey: KEY,
      maxFrameBytes: 16_777_216,
      handshakeMilliseconds: 1_000,
      handlers,
      logger: SILENT_LOGGER,
      metrics,
    });
    await groups.open();
    await server.start();
    this.#nodes.set(id, { machine, groups, server, links });
    void groups.start();
  }

  /** Stops one replica without handing anything over, as after a crash. */
  async crash(id: string): Promise<void> {
    const node = this.#nodes.get(id);
    this.#nodes.delete(id);
    if (node === undefined) return;
    await node.server.stop();
    node.links.stop();
    await node.groups.stop();
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

  /** Ends all cuts. */
  heal(): void {
    for (const proxy of this.#proxies.values()) proxy.heal();
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

  /** Waits until a condition holds; throws after a while. */
  async waitFor(what: string, isMet: () => boolean): Promise<void> {
    const deadline = Date.now() + WAIT_MILLISECONDS;
    while (!isMet()) {
      if (Date.now() > deadline) throw new Error(`Did not come about: ${what}`);
      await sleep(10);
    }
  }

  /** Waits for a leader other than the given one and returns its id. */
  async waitForLeader(except = ""): Promise<string> {
    const find = () => this.listLeaders().find((id) => id !== except);
    await this.waitFor("a leader", () => find() !== undefined);
    return find() ?? "";
  }

  /** Proposes a command wherever it is taken, until it is committed. */
  async commit(command: string, except = ""): Promise<void> {
    for (;;) {
      const leader = await this.waitForLeader(except);
      const applied: Outcome<Applied> | undefined = await this.getGroup(leader)
        ?.propose(command);
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

  async #reserve(id: string): Promise<void> {
    const server = new FaultProxy({ host: "127.0.0.1", port: 1 });
    await server.start();
    this.#ports.set(id, server.port);
    await server.stop();
    for (const source of [...this.ids, "any"]) {
      const target = parseAddress(`127.0.0.1:${this.#ports.get(id) ?? 0}`);
      const proxy = new FaultProxy(target);
      await proxy.start();
      this.#proxies.set(`${source}>${id}`, proxy);
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

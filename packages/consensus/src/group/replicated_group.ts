/** One replicated log with its state machine, at one replica. */

import { performance } from "node:perf_hooks";
import { Buffer } from "node:buffer";
import { decode, encode } from "cbor-x";
import {
  ABORTED,
  type AppendReply,
  type AppendRequest,
  createDeferred,
  type Deferred,
  ENTRY_KINDS,
  type EntryKind,
  fail,
  type GroupStatus,
  type HandoverRequest,
  type LogEntry,
  type Member,
  type Outcome,
  RESULT_CODES,
  sleep,
  type SnapshotReply,
  type SnapshotRequest,
  type VoteReply,
  type VoteRequest,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { EntryRecord } from "../storage/write_ahead_log.ts";
import { askForVotes, type Ballot } from "./election.ts";
import { GroupLog } from "./group_log.ts";
import type { GroupOptions } from "./group_options.ts";
import { Leadership } from "./leadership.ts";
import { decodeMembers, encodeMembers, Membership } from "./membership.ts";

const HANDOVER_MILLISECONDS = 2_000;

/** A committed command and what the state machine made of it. */
export interface Applied {
  readonly index: number;
  readonly result: unknown;
}

interface Proposal {
  readonly term: number;
  readonly done: Deferred<Outcome<Applied>>;
}

/** Replicates commands; see docs/ARCHITECTURE.md for the rules it keeps. */
export class ReplicatedGroup {
  readonly group: number;
  readonly #options: GroupOptions;
  readonly #log: GroupLog;
  readonly #membership: Membership;
  readonly #proposals = new Map<number, Proposal>();
  readonly #stopped = new AbortController();
  #term: number;
  #votedFor: string;
  #leader = "";
  #heardAt = -Infinity;
  #syncedIndex: number;
  #commitIndex: number;
  #appliedIndex: number;
  #leadership: Leadership | undefined;
  #announced = false;
  #handingOver = false;
  #electing = false;
  #snapshotting = false;
  #incoming: Buffer[] = [];

  constructor(options: GroupOptions) {
    this.#options = options;
    this.group = options.group;
    const stored = options.folder.getStored(options.group);
    const base = stored.snapshot?.lastIndex ?? 0;
    this.#term = stored.term;
    this.#votedFor = stored.votedFor;
    this.#log = new GroupLog(
      base,
      stored.snapshot?.lastTerm ?? 0,
      stored.entries,
    );
    this.#membership = new Membership(base, stored.snapshot?.members ?? []);
    for (const entry of stored.entries) this.#noteMembership(entry);
    options.stateMachine.restore(stored.snapshot?.state ?? new Uint8Array());
    this.#syncedIndex = this.#log.lastIndex;
    this.#commitIndex = base;
    this.#appliedIndex = base;
  }

  /** Starts the election task. */
  start(): void {
    this.#heardAt = performance.now();
    void this.#runElections();
  }

  /** Ends all tasks; proposals under way fail. */
  stop(): void {
    this.#stopped.abort(ABORTED);
    this.#stepDown();
  }

  /** True if this replica leads and has applied all that came before its term. */
  get isLeading(): boolean {
    return this.#announced;
  }

  /** Term of the leadership that {@linkcode isLeading} speaks of. */
  get term(): number {
    return this.#term;
  }

  /** Id of the leader, as far as known; empty if not. */
  get leader(): string {
    return this.#leader;
  }

  /** Leader's view of the membership and its peers, for the keeper. */
  get leadership(): Leadership | undefined {
    return this.#leadership;
  }

  /** Members by the newest entry. */
  get membership(): Membership {
    return this.#membership;
  }

  /** Index of the last applied entry. */
  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** Milliseconds since a leader was heard; 0 while leading. */
  findSilence(now: number): number {
    return this.#leadership !== undefined ? 0 : now - this.#heardAt;
  }

  /** True if this replica counts, follows a leader and is not far behind. */
  isHealthy(now: number): boolean {
    const member = this.#membership.find(this.#options.identity);
    if (member === undefined || member.role === "learner") return false;
    const limit = 4 * this.#options.timing.electionMilliseconds;
    return this.findSilence(now) < limit &&
      this.#appliedIndex >= this.#commitIndex;
  }

  /**
   * Replicates a command and returns what the state machine made of it.
   * After NOT_LEADER the command may or may not have been committed.
   */
  async propose(command: unknown): Promise<Outcome<Applied>> {
    if (!this.#announced || this.#handingOver) return this.#refuse();
    return await this.#append(ENTRY_KINDS.COMMAND, encode(command));
  }

  /** Confirms with a quorum that this replica still leads. */
  async confirmLeadership(): Promise<Outcome<void>> {
    const leadership = this.#leadership;
    if (leadership === undefined || !this.#announced) return this.#refuse();
    const index = this.#commitIndex;
    const confirmed = await leadership.confirm(
      this.#options.timing.electionMilliseconds,
    );
    if (confirmed.err) return confirmed;
    if (leadership.isOver || this.#appliedIndex < index) return this.#refuse();
    return Ok(undefined);
  }

  /** Changes the members by one voter at most; waits until it is committed. */
  async changeMembers(members: readonly Member[]): Promise<Outcome<Applied>> {
    if (!this.#announced) return this.#refuse();
    if (this.#membership.changedAt > this.#commitIndex) {
      return fail(
        RESULT_CODES.VERSION_CONFLICT,
        "A membership change is under way",
      );
    }
    return await this.#append(ENTRY_KINDS.MEMBERSHIP, encodeMembers(members));
  }

  /** Passes the leadership on before a planned stop. */
  async handOver(): Promise<void> {
    const leadership = this.#leadership;
    if (leadership === undefined) return;
    this.#handingOver = true;
    const deadline = performance.now() + HANDOVER_MILLISECONDS;
    while (!leadership.isOver && performance.now() < deadline) {
      const successor = this.#findSuccessor(leadership);
      if (successor !== undefined) await this.#callSuccessor(successor);
      await sleep(this.#options.timing.heartbeatMilliseconds / 2);
    }
    this.#handingOver = false;
  }

  /** Serves a vote request. */
  async handleVote(request: VoteRequest): Promise<Outcome<VoteReply>> {
    const refused: VoteReply = { term: this.#term, granted: false };
    if (!this.#isForMe(request.toIncarnation)) return Ok(refused);
    const lease = this.#options.timing.electionMilliseconds;
    const fresh = performance.now() - this.#heardAt < lease ||
      this.#leadership !== undefined;
    if (fresh && !request.handover) return Ok(refused);
    if (request.term < this.#term || !this.#isUpToDate(request)) {
      return Ok(refused);
    }
    if (request.preVote) return Ok({ term: this.#term, granted: true });
    if (request.term > this.#term) this.#adoptTerm(request.term);
    const candidate = request.from.replicaId;
    if (this.#votedFor !== "" && this.#votedFor !== candidate) {
      return Ok({ term: this.#term, granted: false });
    }
    this.#votedFor = candidate;
    this.#heardAt = performance.now();
    await this.#saveVote();
    return Ok({ term: request.term, granted: this.#term === request.term });
  }

  /** Serves an append request. */
  async handleAppend(request: AppendRequest): Promise<Outcome<AppendReply>> {
    const term = this.#term;
    if (!this.#isForMe(request.toIncarnation)) {
      return fail(
        RESULT_CODES.NOT_LEADER,
        "The message is for an earlier incarnation",
      );
    }
    if (request.term < term) {
      return Ok({ term, accepted: false, matchIndex: 0 });
    }
    this.#followLeader(request.term, request.from.replicaId);
    if (request.previousIndex < this.#log.baseIndex) {
      return Ok({
        term: this.#term,
        accepted: false,
        matchIndex: this.#commitIndex,
      });
    }
    if (this.#log.findTerm(request.previousIndex) !== request.previousTerm) {
      const hint = Math.min(request.previousIndex - 1, this.#log.lastIndex);
      const matchIndex = Math.max(this.#commitIndex, hint);
      return Ok({ term: this.#term, accepted: false, matchIndex });
    }
    const matchIndex = request.previousIndex + request.entries.length;
    await this.#storeEntries(request.entries);
    if (this.#term !== request.term) {
      return Ok({ term: this.#term, accepted: false, matchIndex: 0 });
    }
    this.#heardAt = performance.now();
    this.#commitUntil(Math.min(request.commitIndex, matchIndex));
    return Ok({ term: this.#term, accepted: true, matchIndex });
  }

  /** Serves a part of a snapshot. */
  async handleSnapshot(
    request: SnapshotRequest,
  ): Promise<Outcome<SnapshotReply>> {
    if (!this.#isForMe(request.toIncarnation)) {
      return fail(
        RESULT_CODES.NOT_LEADER,
        "The message is for an earlier incarnation",
      );
    }
    if (request.term < this.#term) {
      return Ok({ term: this.#term, accepted: false });
    }
    this.#followLeader(request.term, request.from.replicaId);
    if (request.offset === 0) this.#incoming = [];
    const received = this.#incoming.reduce((sum, part) => sum + part.length, 0);
    if (request.offset !== received) {
      return Ok({ term: this.#term, accepted: false });
    }
    this.#incoming.push(Buffer.from(request.part));
    if (!request.last) return Ok({ term: this.#term, accepted: true });
    const state = Buffer.concat(this.#incoming);
    this.#incoming = [];
    if (request.lastIndex > this.#commitIndex) {
      await this.#installSnapshot(request, state);
    }
    return Ok({ term: this.#term, accepted: true });
  }

  /** Serves a hand-over: starts an election at once. */
  async handleHandover(
    request: HandoverRequest,
  ): Promise<Outcome<Record<string, never>>> {
    const forMe = this.#isForMe(request.toIncarnation);
    if (
      forMe && request.term === this.#term &&
      this.#log.lastIndex >= request.lastIndex
    ) {
      await this.#elect(true);
    }
    return Ok({});
  }

  /** State of the group, for operators. */
  describe(now: number): GroupStatus {
    return {
      group: this.group,
      state: this.#leadership === undefined ? "follower" : "leader",
      term: this.#term,
      leader: this.#leader,
      commitIndex: this.#commitIndex,
      lastIndex: this.#log.lastIndex,
      snapshotIndex: this.#log.baseIndex,
      members: this.#membership.members,
      lag: this.#leadership?.describeLag(now) ?? [],
    };
  }

  #refuse() {
    return fail(
      RESULT_CODES.NOT_LEADER,
      `Leader is ${this.#leader || "not known"}`,
    );
  }

  #isForMe(incarnation: string): boolean {
    return incarnation === this.#options.identity.incarnation;
  }

  #isUpToDate(ballot: Ballot): boolean {
    if (ballot.lastTerm !== this.#log.lastTerm) {
      return ballot.lastTerm > this.#log.lastTerm;
    }
    return ballot.lastIndex >= this.#log.lastIndex;
  }

  async #runElections(): Promise<void> {
    const least = this.#options.timing.electionMilliseconds;
    while (!this.#stopped.signal.aborted) {
      const timeout = least * (1 + Math.random());
      await sleep(timeout / 4, this.#stopped.signal);
      if (this.#stopped.signal.aborted) return;
      const now = performance.now();
      if (this.#leadership !== undefined) {
        this.#checkQuorum(this.#leadership, now);
        continue;
      }
      if (now - this.#heardAt < timeout) continue;
      await this.#elect(false);
    }
  }

  #checkQuorum(leadership: Leadership, now: number): void {
    const since = now - 2 * this.#options.timing.electionMilliseconds;
    const joined = leadership.startedAt < since;
    if (
      !joined || leadership.countAckedSince(since) >= this.#membership.quorum
    ) return;
    this.#options.logger.warn("Stepped down without a quorum", {
      group: this.group,
    });
    this.#stepDown();
  }

  async #elect(handover: boolean): Promise<void> {
    if (this.#electing || this.#leadership !== undefined) return;
    if (!this.#membership.isVoter(this.#options.identity)) return;
    this.#electing = true;
    try {
      if (!handover && !await this.#wins({ preVote: true, handover })) return;
      if (this.#leadership !== undefined || this.#stopped.signal.aborted) {
        return;
      }
      this.#adoptTerm(this.#term + 1);
      const term = this.#term;
      this.#votedFor = this.#options.identity.replicaId;
      await this.#saveVote();
      if (!await this.#wins({ preVote: false, handover })) return;
      if (this.#term === term) this.#lead();
    } finally {
      this.#electing = false;
    }
  }

  async #wins(
    kind: { readonly preVote: boolean; readonly handover: boolean },
  ): Promise<boolean> {
    const term = this.#term;
    const ballot: Ballot = {
      ...kind,
      term: kind.preVote ? term + 1 : term,
      lastIndex: this.#log.lastIndex,
      lastTerm: this.#log.lastTerm,
    };
    const result = await askForVotes(ballot, {
      options: this.#options,
      membership: this.#membership,
    });
    if (result.highestTerm > ballot.term) this.#adoptTerm(result.highestTerm);
    return result.won && this.#term === term;
  }

  #lead(): void {
    if (this.#stopped.signal.aborted) return;
    this.#leader = this.#options.identity.replicaId;
    const leadership = new Leadership({
      term: this.#term,
      options: this.#options,
      log: this.#log,
      membership: this.#membership,
      getSyncedIndex: () => this.#syncedIndex,
      getCommitIndex: () => this.#commitIndex,
      onCommit: (index) => this.#commitUntil(index),
      onHigherTerm: (term) => this.#adoptTerm(term),
    });
    this.#leadership = leadership;
    leadership.followMembership(performance.now());
    this.#options.logger.info("Leading", {
      group: this.group,
      term: this.#term,
    });
    void this.#announce(leadership);
  }

  async #announce(leadership: Leadership): Promise<void> {
    // The state is only up to date once an entry of the own term is applied.
    const applied = await this.#append(ENTRY_KINDS.NOOP, Buffer.alloc(0));
    if (applied.err || leadership.isOver) return;
    this.#announced = true;
    this.#options.metrics.leading.set({ group: this.group }, 1);
    this.#options.listener.onLeading(leadership.term);
  }

  #stepDown(): void {
    const leadership = this.#leadership;
    if (leadership === undefined) return;
    this.#leadership = undefined;
    leadership.end();
    if (this.#leader === this.#options.identity.replicaId) this.#leader = "";
    this.#heardAt = performance.now();
    for (const proposal of this.#proposals.values()) {
      proposal.done.resolve(this.#refuse());
    }
    this.#proposals.clear();
    if (!this.#announced) return;
    this.#announced = false;
    this.#options.metrics.leading.set({ group: this.group }, 0);
    this.#options.listener.onFollowing();
  }

  #adoptTerm(term: number): void {
    if (term <= this.#term) return;
    this.#stepDown();
    this.#term = term;
    this.#votedFor = "";
    void this.#saveVote();
  }

  #followLeader(term: number, leader: string): void {
    this.#adoptTerm(term);
    this.#leader = leader;
    this.#heardAt = performance.now();
  }

  async #saveVote(): Promise<void> {
    await this.#options.folder.log.append([{
      kind: "vote",
      group: this.group,
      term: this.#term,
      votedFor: this.#votedFor,
    }]);
  }

  async #append(
    kind: EntryKind,
    payload: Uint8Array,
  ): Promise<Outcome<Applied>> {
    const leadership = this.#leadership;
    if (leadership === undefined) return this.#refuse();
    const entry = {
      index: this.#log.lastIndex + 1,
      term: leadership.term,
      kind,
      payload,
    };
    const proposal: Proposal = { term: entry.term, done: createDeferred() };
    const startedAt = performance.now();
    this.#proposals.set(entry.index, proposal);
    this.#appendToLog(entry);
    const synced = this.#saveEntries([entry]);
    leadership.wake();
    await synced;
    if (!leadership.isOver) {
      this.#syncedIndex = Math.max(this.#syncedIndex, entry.index);
      leadership.advanceCommit();
    }
    const outcome = await proposal.done.promise;
    const seconds = (performance.now() - startedAt) / 1_000;
    this.#options.metrics.commitSeconds.observe({ group: this.group }, seconds);
    return outcome;
  }

  #saveEntries(entries: readonly LogEntry[]): Promise<void> {
    const records: EntryRecord[] = entries.map((entry) => ({
      kind: "entry",
      group: this.group,
      entry,
    }));
    return this.#options.folder.log.append(records);
  }

  #appendToLog(entry: LogEntry): void {
    this.#log.append(entry);
    this.#noteMembership(entry);
  }

  #noteMembership(entry: LogEntry): void {
    if (entry.kind !== ENTRY_KINDS.MEMBERSHIP) return;
    this.#membership.append(entry.index, decodeMembers(entry.payload));
    this.#leadership?.followMembership(performance.now());
  }

  async #storeEntries(entries: readonly LogEntry[]): Promise<void> {
    const fresh: LogEntry[] = [];
    for (const entry of entries) {
      if (entry.index <= this.#log.baseIndex) continue;
      if (
        fresh.length === 0 && this.#log.findTerm(entry.index) === entry.term
      ) continue;
      if (fresh.length === 0 && entry.index <= this.#log.lastIndex) {
        this.#log.truncateFrom(entry.index);
        this.#membership.truncateFrom(entry.index);
        this.#syncedIndex = Math.min(this.#syncedIndex, entry.index - 1);
      }
      fresh.push(entry);
      this.#appendToLog(entry);
    }
    // Entries known before may still be on their way to the disk, so an
    // empty append waits for the sync as well.
    const isSynced = fresh.length === 0 &&
      this.#syncedIndex >= this.#log.lastIndex;
    if (isSynced) return;
    await this.#saveEntries(fresh);
    const last = entries.at(-1);
    // A later leader may have replaced the entry while it was being synced.
    if (last === undefined || this.#log.findTerm(last.index) !== last.term) {
      return;
    }
    this.#syncedIndex = Math.max(this.#syncedIndex, last.index);
  }

  #commitUntil(index: number): void {
    if (index <= this.#commitIndex) return;
    this.#commitIndex = index;
    while (this.#appliedIndex < this.#commitIndex) {
      const entry = this.#log.get(this.#appliedIndex + 1);
      if (entry === undefined) break;
      this.#appliedIndex = entry.index;
      this.#applyEntry(entry);
    }
    void this.#snapshotIfDue();
  }

  #applyEntry(entry: LogEntry): void {
    let result: unknown;
    if (entry.kind === ENTRY_KINDS.COMMAND) {
      result = this.#options.stateMachine.apply(
        decode(entry.payload),
        entry.index,
      );
    }
    const proposal = this.#proposals.get(entry.index);
    if (proposal === undefined) return;
    this.#proposals.delete(entry.index);
    if (proposal.term === entry.term) {
      proposal.done.resolve(Ok({ index: entry.index, result }));
    } else proposal.done.resolve(this.#refuse());
  }

  async #snapshotIfDue(): Promise<void> {
    const due = this.#appliedIndex - this.#log.baseIndex >=
      this.#options.timing.snapshotEntries;
    if (!due || this.#snapshotting) return;
    this.#snapshotting = true;
    const lastIndex = this.#appliedIndex;
    const members = this.#membership.findAt(lastIndex);
    const state = this.#options.stateMachine.takeSnapshot();
    const lastTerm = this.#log.findTerm(lastIndex) ?? 0;
    await this.#options.folder.saveSnapshot({
      group: this.group,
      lastIndex,
      lastTerm,
      members,
      state,
    });
    this.#log.dropUntil(lastIndex);
    this.#snapshotting = false;
  }

  async #installSnapshot(
    request: SnapshotRequest,
    state: Buffer,
  ): Promise<void> {
    const { lastIndex, lastTerm, members } = request;
    await this.#options.folder.installSnapshot({
      group: this.group,
      lastIndex,
      lastTerm,
      members,
      state,
    });
    if (lastIndex <= this.#commitIndex) return;
    this.#log.reset(lastIndex, lastTerm);
    this.#membership.reset(lastIndex, members);
    this.#options.stateMachine.restore(state);
    this.#syncedIndex = lastIndex;
    this.#commitIndex = lastIndex;
    this.#appliedIndex = lastIndex;
    this.#options.logger.info("Snapshot installed", {
      group: this.group,
      lastIndex,
    });
  }

  #findSuccessor(leadership: Leadership): Member | undefined {
    for (const voter of this.#membership.voters) {
      const peer = leadership.findPeer(voter);
      if (peer !== undefined && peer.matchIndex >= this.#log.lastIndex) {
        return voter;
      }
    }
    return undefined;
  }

  async #callSuccessor(successor: Member): Promise<void> {
    const request: HandoverRequest = {
      group: this.group,
      term: this.#term,
      from: this.#options.identity,
      toIncarnation: successor.incarnation,
      lastIndex: this.#log.lastIndex,
    };
    await this.#options.findPeer(successor).call(
      "consensus.handover",
      request,
      {
        timeoutMilliseconds: this.#options.timing.electionMilliseconds,
      },
    );
  }
}

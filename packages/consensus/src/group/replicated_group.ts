/** One replica of a group: its log, state machine, elections and leadership. */

import { performance } from "node:perf_hooks";
import { Buffer } from "node:buffer";
import {
  ABORTED,
  type AppendReply,
  type AppendRequest,
  ENTRY_KINDS,
  type EntryKind,
  fail,
  type GroupStatus,
  type HandoverRequest,
  type Member,
  type Outcome,
  RESULT_CODES,
  type SnapshotReply,
  type SnapshotRequest,
  type VoteReply,
  type VoteRequest,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import { type Applied, Applier } from "./applier.ts";
import { type Candidate, Elections } from "./elections.ts";
import { encodePayload } from "./encode_payload.ts";
import { EntryStore } from "./entry_store.ts";
import type { GroupOptions } from "./group_options.ts";
import {
  GroupReport,
  LEADERSHIP_ENDS,
  type LeadershipEnd,
  type PendingEntriesView,
} from "./group_report.ts";
import { handOverLeadership } from "./hand_over_leadership.ts";
import { IncomingSnapshot } from "./incoming_snapshot.ts";
import { decideVote, VOTE_OUTCOMES, type VoterState } from "./decide_vote.ts";
import { Leadership } from "./leadership.ts";
import {
  AdmissionController,
  URGENCIES,
  type Urgency,
} from "./admission_control.ts";
import { encodeMembers, type Membership } from "./membership.ts";
import { ReplicaTerm } from "./replica_term.ts";

/** Load of a leader by commands that are not committed yet. */
export interface ProposalLoad {
  /**
   * Expected wait divided by the longest wait at which a command is accepted:
   * 0 if few entries are pending, above 1 if a command would be rejected.
   */
  readonly part: number;
  /** Expected time until a command that is proposed now commits; 0 if few are pending. */
  readonly expectedMilliseconds: number;
  /** Delay after which a rejected caller should retry. */
  readonly retryAfterMilliseconds: number;
}

/**
 * Replicates commands to the members of a group and applies them to the state
 * machine. docs/ARCHITECTURE.md describes the protocol.
 */
export class ReplicatedGroup {
  readonly group: number;
  readonly #options: GroupOptions;
  readonly #store: EntryStore;
  readonly #applier: Applier;
  readonly #incoming = new IncomingSnapshot();
  readonly #stopped = new AbortController();
  readonly #report: GroupReport;
  readonly #admission = new AdmissionController();
  readonly #elections: Elections;
  readonly #term: ReplicaTerm;
  #leader = "";
  /** When this replica last got a leader's message, granted a vote or stepped down. */
  #leaderContactAt = -Infinity;
  /** True if the latest leader treats this replica as a cold spare. */
  #isCold = false;
  #leadership: Leadership | undefined;
  /** True once this leader has applied an entry of its own term. */
  #isEstablished = false;
  #isHandingOver = false;

  constructor(options: GroupOptions) {
    this.#options = options;
    this.group = options.group;
    this.#report = new GroupReport(options.group, options);
    const stored = options.folder.getStored(options.group);
    this.#term = new ReplicaTerm(stored, options.folder);
    this.#store = new EntryStore(stored, options.folder);
    this.#store.onMembershipChange = (now) =>
      this.#leadership?.updatePeers(now);
    this.#applier = new Applier(options, this.#store);
    this.#applier.getLowestMatchIndex = () =>
      this.#leadership?.findLowestMatchIndex(performance.now()) ?? Infinity;
    this.#elections = new Elections({
      options,
      store: this.#store,
      report: this.#report,
      candidate: this.#createCandidate(),
      stopped: this.#stopped.signal,
    });
  }

  /** Starts the election task. */
  start(): void {
    void this.#elections.run();
  }

  /** Stops all tasks; pending proposals fail. */
  stop(): void {
    this.#stopped.abort(ABORTED);
    this.#stepDown(LEADERSHIP_ENDS.STOPPED);
  }

  /** True if this replica leads and has applied all entries of earlier terms. */
  get isLeading(): boolean {
    return this.#isEstablished;
  }

  /** Latest term that this replica knows; while {@linkcode isLeading}, the term it leads. */
  get term(): number {
    return this.#term.number;
  }

  /** Replica id of the leader; empty if it is not known. */
  get leader(): string {
    return this.#leader;
  }

  /** Current leadership of this replica, for the membership keeper; undefined for followers. */
  get leadership(): Leadership | undefined {
    return this.#leadership;
  }

  /** Membership as of the latest log entry, committed or not. */
  get membership(): Membership {
    return this.#store.membership;
  }

  /** Index of the last applied entry. */
  get appliedIndex(): number {
    return this.#applier.appliedIndex;
  }

  /** Time since the last contact with a leader, ms; 0 while leading. */
  findLeaderSilence(now: number): number {
    return this.#leadership !== undefined ? 0 : now - this.#leaderContactAt;
  }

  /**
   * True if this replica is a cold spare: a member to which the leader sends no
   * entries, so that its log may not contain its own membership.
   */
  get isCold(): boolean {
    return this.#isCold;
  }

  /**
   * True if this replica has recent contact with a leader, has applied all
   * committed entries it knows of, and is a voter, a standby, or a learner in a
   * group with enough voters. A cold spare receives no entries, so it cannot lag
   * and needs only the contact.
   */
  isHealthy(now: number): boolean {
    const limit = 4 * this.#options.timing.electionMilliseconds;
    if (this.findLeaderSilence(now) >= limit) return false;
    if (this.#isCold) return true;
    const { membership } = this.#store;
    const member = membership.find(this.#options.identity);
    const isSpare = membership.voters.length >= this.#options.voterCount;
    if (member === undefined || (member.role === "learner" && !isSpare)) {
      return false;
    }
    return this.#applier.appliedIndex >= this.#applier.commitIndex;
  }

  /**
   * Replicates a command and returns the result of the state machine. After
   * LEADERSHIP_LOST the command may or may not be committed; after LEADER_BUSY
   * it is not in the log and never will be.
   *
   * @example
   * ```ts
   * await group.propose(command, URGENCIES.START);
   * ```
   */
  async propose(
    command: unknown,
    urgency: Urgency = URGENCIES.FINISH,
  ): Promise<Outcome<Applied>> {
    if (!this.#isEstablished || this.#isHandingOver) return this.#refuse();
    const now = performance.now();
    const retryAfter = this.#admission.checkAdmission(
      urgency,
      this.#applier.waiting,
      now,
    );
    if (retryAfter !== undefined) return this.#refuseForLoad(retryAfter);
    return await this.#append(ENTRY_KINDS.COMMAND, encodePayload(command));
  }

  /** Returns how close the leader is to rejecting a command of this urgency, and the retry delay. */
  findProposalLoad(urgency: Urgency, now: number): ProposalLoad {
    const { waiting } = this.#applier;
    return {
      part: this.#admission.findLoadRatio(urgency, waiting, now),
      expectedMilliseconds: this.#admission.estimateQueueWait(waiting, now),
      retryAfterMilliseconds: this.#admission.findRetryAfter(waiting, now),
    };
  }

  /** Confirms with a quorum that this replica still leads. */
  async confirmLeadership(): Promise<Outcome<void>> {
    const leadership = this.#leadership;
    if (leadership === undefined || !this.#isEstablished) return this.#refuse();
    const index = this.#applier.commitIndex;
    const confirmed = await leadership.confirm(
      this.#options.timing.electionMilliseconds,
    );
    if (confirmed.err) return confirmed;
    if (leadership.isOver || this.#applier.appliedIndex < index) {
      return this.#refuse();
    }
    return Ok(undefined);
  }

  /**
   * Returns the latest time, by the local monotonic clock, at which a quorum is
   * known to have accepted this replica as leader; -Infinity if it does not lead.
   */
  findConfirmedAt(now: number): number {
    if (!this.#isEstablished) return -Infinity;
    return this.#leadership?.findConfirmedAt(now) ?? -Infinity;
  }

  /**
   * Replaces the member list and resolves when the change is committed. The list
   * may differ from the current one by one voter at most.
   */
  async changeMembers(members: readonly Member[]): Promise<Outcome<Applied>> {
    if (!this.#isEstablished) return this.#refuse();
    if (this.#store.membership.changedIndex > this.#applier.commitIndex) {
      return fail(
        RESULT_CODES.VERSION_CONFLICT,
        "A membership change is under way",
      );
    }
    return await this.#append(ENTRY_KINDS.MEMBERSHIP, encodeMembers(members));
  }

  /** Transfers the leadership to another voter before a planned stop or retirement. */
  async handOver(): Promise<void> {
    const leadership = this.#leadership;
    if (leadership === undefined) return;
    this.#isHandingOver = true;
    await handOverLeadership(leadership, {
      options: this.#options,
      log: this.#store.log,
      membership: this.#store.membership,
    });
    this.#isHandingOver = false;
  }

  /** Handles a vote request from a candidate. */
  async handleVote(request: VoteRequest): Promise<Outcome<VoteReply>> {
    const now = performance.now();
    const { term, preVote, from } = request;
    const outcome = decideVote(request, this.#describeVoter(), now);
    const vote = { term, preVote, candidate: from.replicaId };
    this.#report.recordVote(outcome, vote, now);
    const granted = outcome === VOTE_OUTCOMES.GRANTED;
    if (!granted || preVote) return Ok({ term: this.term, granted });
    this.#adoptTerm(term);
    this.#leaderContactAt = now;
    await this.#term.voteFor(from.replicaId);
    return Ok({ term, granted: this.term === term });
  }

  /** Handles an append request or heartbeat from a leader. */
  async handleAppend(request: AppendRequest): Promise<Outcome<AppendReply>> {
    const { term } = this;
    if (!this.#hasIncarnation(request.toIncarnation)) {
      return fail(
        RESULT_CODES.NOT_LEADER,
        "The message is for an earlier incarnation",
      );
    }
    if (request.term < term) {
      return Ok({ term, accepted: false, matchIndex: 0 });
    }
    this.#followLeader(request.term, request.from.replicaId);
    this.#isCold = request.isCold === true;
    if (request.previousIndex < this.#store.log.baseIndex) {
      return Ok({
        term: this.term,
        accepted: false,
        matchIndex: this.#applier.commitIndex,
      });
    }
    if (
      this.#store.log.findTerm(request.previousIndex) !== request.previousTerm
    ) {
      const hint = Math.min(
        request.previousIndex - 1,
        this.#store.log.lastIndex,
      );
      const matchIndex = Math.max(this.#applier.commitIndex, hint);
      return Ok({ term: this.term, accepted: false, matchIndex });
    }
    const matchIndex = request.previousIndex + request.entries.length;
    await this.#store.storeFromLeader(request.entries);
    if (this.term !== request.term) {
      return Ok({ term: this.term, accepted: false, matchIndex: 0 });
    }
    this.#leaderContactAt = performance.now();
    this.#applier.commitUntil(Math.min(request.commitIndex, matchIndex));
    return Ok({ term: this.term, accepted: true, matchIndex });
  }

  /** Handles a chunk of a snapshot from a leader; installs the snapshot after the last chunk. */
  async handleSnapshot(
    request: SnapshotRequest,
  ): Promise<Outcome<SnapshotReply>> {
    if (!this.#hasIncarnation(request.toIncarnation)) {
      return fail(
        RESULT_CODES.NOT_LEADER,
        "The message is for an earlier incarnation",
      );
    }
    if (request.term < this.term) {
      return Ok({ term: this.term, accepted: false });
    }
    this.#followLeader(request.term, request.from.replicaId);
    if (!this.#incoming.addChunk(request)) {
      return Ok({ term: this.term, accepted: false });
    }
    if (request.last) {
      await this.#applier.install(this.#incoming.finish(request));
    }
    return Ok({ term: this.term, accepted: true });
  }

  /** Handles a leadership transfer from the leader: starts an election at once. */
  async handleHandover(
    request: HandoverRequest,
  ): Promise<Outcome<Record<string, never>>> {
    const isAddressee = this.#hasIncarnation(request.toIncarnation);
    if (
      isAddressee && request.term === this.term &&
      this.#store.log.lastIndex >= request.lastIndex
    ) {
      await this.#elections.standForElection(true);
    }
    return Ok({});
  }

  /** Returns the state of the group for operators. */
  describe(now: number): GroupStatus {
    return {
      group: this.group,
      state: this.#leadership === undefined ? "follower" : "leader",
      term: this.term,
      leader: this.#leader,
      commitIndex: this.#applier.commitIndex,
      lastIndex: this.#store.log.lastIndex,
      snapshotIndex: this.#store.log.baseIndex,
      members: this.#store.membership.members,
      lag: this.#leadership?.describeLag(now) ?? [],
    };
  }

  #refuse() {
    return fail(
      RESULT_CODES.NOT_LEADER,
      `Leader is ${this.#leader || "not known"}`,
    );
  }

  #refuseForLoad(retryAfterMilliseconds: number) {
    return fail(
      RESULT_CODES.LEADER_BUSY,
      RESULT_CODES.LEADER_BUSY.meaning,
      retryAfterMilliseconds,
    );
  }

  #hasIncarnation(incarnation: string): boolean {
    return incarnation === this.#options.identity.incarnation;
  }

  #describeVoter(): VoterState {
    return {
      incarnation: this.#options.identity.incarnation,
      term: this.term,
      votedFor: this.#term.votedFor,
      isLeader: this.#leadership !== undefined,
      leaderContactAt: this.#leaderContactAt,
      leaseMilliseconds: this.#options.timing.electionMilliseconds,
      lastIndex: this.#store.log.lastIndex,
      lastTerm: this.#store.log.lastTerm,
    };
  }

  #createCandidate(): Candidate {
    return {
      getTerm: () => this.term,
      isLeader: () => this.#leadership !== undefined,
      getLeaderContactAt: () => this.#leaderContactAt,
      adoptTerm: (term) => this.#adoptTerm(term),
      voteForSelf: () => this.#term.voteFor(this.#options.identity.replicaId),
      becomeLeader: () => this.#becomeLeader(),
      maintainLeadership: (now) => this.#maintainLeadership(now),
    };
  }

  #maintainLeadership(now: number): void {
    const leadership = this.#leadership;
    if (leadership === undefined) return;
    this.#report.recordPendingEntries(
      this.#describePending(leadership, now),
      now,
    );
    leadership.chooseWarmSpares(now);
    this.#checkQuorum(leadership, now);
  }

  #checkQuorum(leadership: Leadership, now: number): void {
    const since = now - 2 * this.#options.timing.electionMilliseconds;
    const isGracePeriodOver = leadership.startedAt < since;
    if (
      !isGracePeriodOver ||
      leadership.countAckedSince(since) >= this.#store.membership.quorum
    ) return;
    this.#stepDown(LEADERSHIP_ENDS.NO_QUORUM);
  }

  #describePending(leadership: Leadership, now: number): PendingEntriesView {
    return {
      term: leadership.term,
      waiting: this.#store.log.lastIndex - this.#applier.commitIndex,
      members: leadership.listMemberViews(now),
    };
  }

  #becomeLeader(): void {
    if (this.#stopped.signal.aborted) return;
    this.#leader = this.#options.identity.replicaId;
    const leadership = new Leadership({
      term: this.term,
      options: this.#options,
      log: this.#store.log,
      membership: this.#store.membership,
      getSyncedIndex: () => this.#store.syncedIndex,
      getCommitIndex: () => this.#applier.commitIndex,
      onCommit: (index) => this.#commit(index),
      onHigherTerm: (term) => this.#adoptTerm(term),
    });
    this.#leadership = leadership;
    leadership.updatePeers(performance.now());
    this.#options.logger.info("Leading", {
      group: this.group,
      term: this.term,
    });
    void this.#establishLeadership(leadership);
  }

  #commit(index: number): void {
    const pendingCost = this.#applier.waiting.cost;
    this.#applier.commitUntil(index);
    const cost = pendingCost - this.#applier.waiting.cost;
    if (cost > 0) this.#admission.recordCommit(cost, performance.now());
  }

  async #establishLeadership(leadership: Leadership): Promise<void> {
    // Entries of earlier terms are known to be committed, and the state to be
    // current, only once an entry of this term has been applied.
    const applied = await this.#append(ENTRY_KINDS.NOOP, Buffer.alloc(0));
    if (applied.err || leadership.isOver) return;
    this.#isEstablished = true;
    this.#options.metrics.leading.set({ group: this.group }, 1);
    this.#options.listener.onLeading(leadership.term);
  }

  #stepDown(reason: LeadershipEnd): void {
    const leadership = this.#leadership;
    if (leadership === undefined) return;
    const now = performance.now();
    this.#report.recordLeadershipEnd(
      reason,
      this.#describePending(leadership, now),
      now - leadership.startedAt,
    );
    this.#leadership = undefined;
    leadership.end();
    if (this.#leader === this.#options.identity.replicaId) this.#leader = "";
    this.#leaderContactAt = now;
    this.#applier.failPendingProposals();
    if (!this.#isEstablished) return;
    this.#isEstablished = false;
    this.#options.metrics.leading.set({ group: this.group }, 0);
    this.#options.listener.onFollowing();
  }

  #adoptTerm(term: number): void {
    if (term <= this.term) return;
    this.#stepDown(LEADERSHIP_ENDS.HIGHER_TERM);
    this.#term.advance(term);
  }

  #followLeader(term: number, leader: string): void {
    this.#adoptTerm(term);
    this.#leader = leader;
    this.#leaderContactAt = performance.now();
  }

  async #append(
    kind: EntryKind,
    payload: Uint8Array,
  ): Promise<Outcome<Applied>> {
    const leadership = this.#leadership;
    if (leadership === undefined) return this.#refuse();
    const index = this.#store.log.lastIndex + 1;
    const entry = { index, term: leadership.term, kind, payload };
    const startedAt = performance.now();
    const applied = this.#applier.addProposal(entry, startedAt);
    const synced = this.#store.appendOwn(entry);
    leadership.wake();
    // A quorum of other voters can commit the entry, so a stalled disk of the
    // leader delays nothing. A write error stops the replica elsewhere.
    void synced.then(() => leadership.advanceCommit());
    const outcome = await applied;
    const seconds = (performance.now() - startedAt) / 1_000;
    this.#options.metrics.commitSeconds.observe({ group: this.group }, seconds);
    return outcome;
  }
}

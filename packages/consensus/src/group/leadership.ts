/** Leads a group for one term: replicates to every peer and commits entries. */

import { performance } from "node:perf_hooks";
import {
  fail,
  type Member,
  type MemberLag,
  type Outcome,
  RESULT_CODES,
  SerialQueue,
  WakeSignal,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import { chooseWarmSpares } from "./choose_warm_spares.ts";
import type { GroupLog } from "./group_log.ts";
import type { MemberView } from "./group_report.ts";
import type { GroupOptions } from "./group_options.ts";
import { isSameReplica, type Membership } from "./membership.ts";
import { isCold, isVoter, PeerProgress } from "./peer_progress.ts";
import {
  type LeadershipView,
  PeerReplication,
  type ReplicationContext,
} from "./peer_replication.ts";

/** State and callbacks of the group that a leadership uses. */
export interface LeadershipContext {
  readonly term: number;
  readonly options: GroupOptions;
  readonly log: GroupLog;
  readonly membership: Membership;
  /** Returns the index of the last entry that is synced to the leader's disk. */
  getSyncedIndex(): number;
  getCommitIndex(): number;
  /** Called when a quorum has all entries up to this index on disk. */
  onCommit(index: number): void;
  /** Called when a peer reports a later term. */
  onHigherTerm(term: number): void;
}

/** Replicates the log until the leadership ends. */
export class Leadership implements LeadershipView {
  readonly term: number;
  readonly startedAt: number = performance.now();
  readonly #context: LeadershipContext;
  #peers: readonly PeerProgress[] = [];
  /** Wakes the tasks of members that receive entries. */
  readonly #work = new WakeSignal();
  /** Wakes callers that wait for a quorum of replies. */
  readonly #acked = new WakeSignal();
  /** Wakes the tasks of cold spares, which receive no entries. */
  readonly #changed = new WakeSignal();
  readonly #replication: ReplicationContext;
  #confirmSince = -Infinity;
  #isOver = false;

  constructor(context: LeadershipContext) {
    this.#context = context;
    this.term = context.term;
    this.#replication = {
      leadership: this,
      options: context.options,
      log: context.log,
      entriesWake: this.#work,
      changed: this.#changed,
      acked: this.#acked,
      // Snapshots that are sent at the same time share the bandwidth: each takes
      // several times as long and delays the entries for the other members.
      snapshotQueue: new SerialQueue(),
      getCommitIndex: () => context.getCommitIndex(),
      onHigherTerm: (term) => context.onHigherTerm(term),
    };
  }

  /** True once the leadership has ended. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /** Ends the leadership and stops its tasks. */
  end(): void {
    this.#isOver = true;
    this.#work.wake();
    this.#acked.wake();
    this.#changed.wake();
  }

  /** Starts replication to new members and stops it to removed ones. */
  updatePeers(now: number): void {
    const { options, membership, log } = this.#context;
    for (const peer of this.#peers) {
      if (membership.find(peer.member) === undefined) peer.removed = true;
    }
    // The task of a removed peer ends, so a member that is added again needs a
    // new peer with a new task.
    this.#peers = this.#peers.filter((peer) => !peer.removed);
    for (const member of membership.members) {
      if (isSameReplica(member, options.identity)) continue;
      const known = this.findPeer(member);
      if (known !== undefined) {
        known.member = member;
        continue;
      }
      const peer = new PeerProgress(member, {
        nextIndex: log.lastIndex + 1,
        now,
      });
      this.#peers = [...this.#peers, peer];
      void new PeerReplication(peer, this.#replication).run();
    }
    // While voters are missing, the spares that receive entries are chosen at once
    // instead of at the next periodic check: only they can become voters.
    if (this.isShortOfVoters) this.chooseWarmSpares(now);
    this.#work.wake();
    this.#changed.wake();
  }

  /** When confirmation of the leadership by a quorum was last requested. */
  get confirmSince(): number {
    return this.#confirmSince;
  }

  /** True while the group has fewer voters than configured. */
  get isShortOfVoters(): boolean {
    const { membership, options } = this.#context;
    return membership.voters.length < options.voterCount;
  }

  /** Chooses which members without a vote receive entries; called periodically. */
  chooseWarmSpares(now: number): void {
    const { membership, options } = this.#context;
    const spares = this.#peers.filter((peer) => !isVoter(peer));
    const warm = chooseWarmSpares(
      spares.map((peer) => ({
        member: peer.member,
        isWarm: peer.isWarm,
        lastIndex: peer.reportedIndex,
        silentMilliseconds: now - peer.lastReplyAt,
      })),
      {
        voterCount: options.voterCount,
        voters: membership.voters,
        lostMilliseconds: options.timing.standbyMilliseconds,
        freshMilliseconds: 2 * options.timing.electionMilliseconds,
      },
    );
    for (const peer of spares) {
      const isWarm = warm.has(peer.member);
      if (isWarm === peer.isWarm) continue;
      peer.isWarm = isWarm;
      options.logger.info(isWarm ? "Spare is warm" : "Spare is cold", {
        group: options.group,
        member: peer.member.replicaId,
        failure_domain: peer.member.failureDomain,
        reported_index: peer.reportedIndex,
        silent_ms: Math.round(now - peer.lastReplyAt),
      });
      this.#changed.wake();
    }
  }

  /** Returns the replication progress of a member. */
  findPeer(member: Member): PeerProgress | undefined {
    return this.#peers.find((peer) => isSameReplica(peer.member, member));
  }

  /** Wakes the replication tasks after entries were appended. */
  wake(): void {
    this.#work.wake();
  }

  /** Commits the entries that a quorum of voters has on disk. */
  advanceCommit(): void {
    if (this.#isOver) return;
    const { membership, log, options } = this.#context;
    const indexes: number[] = [];
    for (const voter of membership.voters) {
      if (isSameReplica(voter, options.identity)) {
        indexes.push(this.#context.getSyncedIndex());
      } else indexes.push(this.findPeer(voter)?.matchIndex ?? 0);
    }
    indexes.sort((left, right) => right - left);
    const index = indexes[membership.quorum - 1] ?? 0;
    if (index <= this.#context.getCommitIndex()) return;
    // Only entries of the current term are committed by counting replicas; they
    // commit all earlier entries with them.
    if (log.findTerm(index) !== this.term) return;
    this.#context.onCommit(index);
    this.#work.wake();
  }

  /**
   * Resolves when a quorum has answered requests that were sent after this call:
   * no later leader can have committed anything before the call.
   */
  async confirm(timeoutMilliseconds: number): Promise<Outcome<void>> {
    const requestedAt = performance.now();
    this.#confirmSince = Math.max(this.#confirmSince, requestedAt);
    this.#work.wake();
    while (!this.#isOver) {
      if (
        this.countAckedSince(requestedAt) >= this.#context.membership.quorum
      ) {
        return Ok(undefined);
      }
      const remaining = requestedAt + timeoutMilliseconds - performance.now();
      if (remaining <= 0) break;
      await this.#acked.wait(remaining);
    }
    return fail(
      RESULT_CODES.NOT_LEADER,
      "Leadership is not confirmed by a quorum",
    );
  }

  /** Counts this replica and the voters that answered a request sent at or after a time. */
  countAckedSince(since: number): number {
    const { membership, options } = this.#context;
    let count = 0;
    for (const voter of membership.voters) {
      const isSelf = isSameReplica(voter, options.identity);
      const ackedSentAt = this.findPeer(voter)?.lastAckedSentAt ?? -Infinity;
      if (isSelf || ackedSentAt >= since) count++;
    }
    return count;
  }

  /**
   * Returns the latest time such that a quorum has answered requests sent then
   * or later; -Infinity if there is none. No later leader had been elected at
   * that time, so the state of this leader was current.
   */
  findConfirmedAt(now: number): number {
    const { membership, options } = this.#context;
    const times = membership.voters.map((voter) =>
      isSameReplica(voter, options.identity)
        ? now
        : this.findPeer(voter)?.lastAckedSentAt ?? -Infinity
    );
    times.sort((left, right) => right - left);
    return times[membership.quorum - 1] ?? -Infinity;
  }

  /** Returns the replication lag of each member. */
  describeLag(now: number): readonly MemberLag[] {
    const lag: MemberLag[] = [];
    for (const peer of this.#peers) {
      lag.push({
        replicaId: peer.member.replicaId,
        isFed: !isCold(peer),
        entries: this.#context.log.lastIndex - peer.matchIndex,
        silentMilliseconds: Math.round(now - peer.lastReplyAt),
      });
    }
    return lag;
  }

  /**
   * Returns the lowest match index of the members that receive entries and
   * replied recently; Infinity if there are none.
   */
  findLowestMatchIndex(now: number): number {
    const since = now - this.#context.options.timing.standbyMilliseconds;
    let index = Infinity;
    for (const peer of this.#peers) {
      if (isCold(peer)) continue;
      if (peer.lastReplyAt >= since) index = Math.min(index, peer.matchIndex);
    }
    return index;
  }

  /** Returns the state of every other member for logs. */
  listMemberViews(now: number): readonly MemberView[] {
    const { log, options } = this.#context;
    return this.#peers.map((peer) => ({
      replicaId: peer.member.replicaId,
      role: peer.member.role,
      lag: log.lastIndex - peer.matchIndex,
      silentMilliseconds: now - peer.lastReplyAt,
      unsentBytes: options.findPeer(peer.member).unsentBytes ?? 0,
    }));
  }
}

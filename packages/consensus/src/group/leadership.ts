/** One term of leading a group: replication to each peer, and commitment. */

import { performance } from "node:perf_hooks";
import {
  type AppendReply,
  type AppendRequest,
  fail,
  type LogEntry,
  type Member,
  MEMBER_ROLES,
  type MemberLag,
  type Outcome,
  RESULT_CODES,
  sleep,
  WakeSignal,
} from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";
import { Ok } from "ts-results";
import { chooseWarmSpares } from "./choose_warm_spares.ts";
import type { GroupLog } from "./group_log.ts";
import type { MemberView } from "./group_report.ts";
import type { GroupOptions } from "./group_options.ts";
import { isSameReplica, type Membership } from "./membership.ts";
import { findMessageBytes } from "./message_size.ts";
import { PeerProgress } from "./peer_progress.ts";
import { sendSnapshot } from "./send_snapshot.ts";
import { findSpareWait } from "./spare_pace.ts";

const RETRY_MILLISECONDS = 20;
/**
 * Longest wait for the answer to entries, in election timeouts. Entries that
 * wait in a full link arrive all the same; sent again, they would fill it more.
 * A connection that broke ends the wait at once.
 */
const APPEND_TIMEOUTS = 10;
/** Heartbeats to a member that is busy with entries, in each election timeout. */
const BUSY_HEARTBEATS = 2;

/**
 * Entries without a quorum above which members without a vote wait: about what
 * a busy site proposes in a quarter of a second, so that the leader's way to
 * the voters is the narrow place.
 */
const YIELD_ENTRIES = 200;

/** What a leadership uses of its group. */
export interface LeadershipParts {
  readonly term: number;
  readonly options: GroupOptions;
  readonly log: GroupLog;
  readonly membership: Membership;
  /** Last own entry that is synced. */
  getSyncedIndex(): number;
  getCommitIndex(): number;
  /** A quorum holds everything up to this index. */
  onCommit(index: number): void;
  /** A peer knows a later term. */
  onHigherTerm(term: number): void;
}

/** Replicates the log for as long as the replica leads. */
export class Leadership {
  readonly term: number;
  readonly startedAt: number = performance.now();
  readonly #parts: LeadershipParts;
  #peers: readonly PeerProgress[] = [];
  readonly #work = new WakeSignal();
  readonly #acked = new WakeSignal();
  /** Wakes the tasks of members that get no entries. */
  readonly #changed = new WakeSignal();
  /** Ends when no member is being sent a snapshot. */
  #snapshotTurn: Promise<void> = Promise.resolve();
  #confirmAt = -Infinity;
  #over = false;

  constructor(parts: LeadershipParts) {
    this.#parts = parts;
    this.term = parts.term;
  }

  /** True once the leadership has ended. */
  get isOver(): boolean {
    return this.#over;
  }

  /** Ends the leadership and its tasks. */
  end(): void {
    this.#over = true;
    this.#work.wake();
    this.#acked.wake();
    this.#changed.wake();
  }

  /** Starts and ends replication as the membership asks. */
  followMembership(now: number): void {
    const { options, membership, log } = this.#parts;
    for (const peer of this.#peers) {
      if (membership.find(peer.member) === undefined) peer.removed = true;
    }
    // The task of a removed peer has ended: if the member comes back, it needs
    // another one.
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
      void this.#replicate(peer);
    }
    // A repair does not wait for the next look.
    if (this.#isShortOfVoters) this.chooseWarmSpares(now);
    this.#work.wake();
    this.#changed.wake();
  }

  get #isShortOfVoters(): boolean {
    const { membership, options } = this.#parts;
    return membership.voters.length < options.voterCount;
  }

  /** Chooses which members without a vote get entries; called now and then. */
  chooseWarmSpares(now: number): void {
    const { membership, options } = this.#parts;
    const spares = this.#peers.filter((peer) => !isVoter(peer));
    const warm = chooseWarmSpares(
      spares.map((peer) => ({
        member: peer.member,
        isWarm: peer.isWarm,
        lastIndex: peer.reportedIndex,
        silentMilliseconds: now - peer.heardAt,
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
        silent_ms: Math.round(now - peer.heardAt),
      });
      this.#changed.wake();
    }
  }

  /** Returns the progress of a member. */
  findPeer(member: Member): PeerProgress | undefined {
    return this.#peers.find((peer) => isSameReplica(peer.member, member));
  }

  /** Tells the replication tasks that there are new entries. */
  wake(): void {
    this.#work.wake();
  }

  /** Commits what a quorum of voters has on disk. */
  advanceCommit(): void {
    if (this.#over) return;
    const { membership, log, options } = this.#parts;
    const indexes: number[] = [];
    for (const voter of membership.voters) {
      if (isSameReplica(voter, options.identity)) {
        indexes.push(this.#parts.getSyncedIndex());
      } else indexes.push(this.findPeer(voter)?.matchIndex ?? 0);
    }
    indexes.sort((left, right) => right - left);
    const index = indexes[membership.quorum - 1] ?? 0;
    if (index <= this.#parts.getCommitIndex()) return;
    // Only entries of the own term commit by counting; earlier ones come with them.
    if (log.findTerm(index) !== this.term) return;
    this.#parts.onCommit(index);
    this.#work.wake();
  }

  /**
   * Resolves when a quorum has answered a request sent after this call, so
   * that no later leader can have committed anything before it.
   */
  async confirm(limitMilliseconds: number): Promise<Outcome<void>> {
    const askedAt = performance.now();
    this.#confirmAt = Math.max(this.#confirmAt, askedAt);
    this.#work.wake();
    while (!this.#over) {
      if (this.countAckedSince(askedAt) >= this.#parts.membership.quorum) {
        return Ok(undefined);
      }
      const left = askedAt + limitMilliseconds - performance.now();
      if (left <= 0) break;
      await this.#acked.wait(left);
    }
    return fail(
      RESULT_CODES.NOT_LEADER,
      "Leadership is not confirmed by a quorum",
    );
  }

  /** Counts the voters, with this replica, that answered a request sent since. */
  countAckedSince(since: number): number {
    const { membership, options } = this.#parts;
    let count = 0;
    for (const voter of membership.voters) {
      const own = isSameReplica(voter, options.identity);
      const ackedSentAt = this.findPeer(voter)?.ackedSentAt ?? -Infinity;
      if (own || ackedSentAt >= since) count++;
    }
    return count;
  }

  /** How far each member is behind. */
  describeLag(now: number): readonly MemberLag[] {
    const lag: MemberLag[] = [];
    for (const peer of this.#peers) {
      lag.push({
        replicaId: peer.member.replicaId,
        isFed: !isCold(peer),
        entries: this.#parts.log.lastIndex - peer.matchIndex,
        silentMilliseconds: Math.round(now - peer.heardAt),
      });
    }
    return lag;
  }

  /** Last entry that every member has that was heard lately. */
  findWantedIndex(now: number): number {
    const since = now - this.#parts.options.timing.standbyMilliseconds;
    let index = Infinity;
    for (const peer of this.#peers) {
      if (isCold(peer)) continue;
      if (peer.heardAt >= since) index = Math.min(index, peer.matchIndex);
    }
    return index;
  }

  /** Every other member as this leader sees it, for logs. */
  viewMembers(now: number): readonly MemberView[] {
    const { log, options } = this.#parts;
    return this.#peers.map((peer) => ({
      replicaId: peer.member.replicaId,
      role: peer.member.role,
      lag: log.lastIndex - peer.matchIndex,
      silentMilliseconds: now - peer.heardAt,
      unsentBytes: options.findPeer(peer.member).unsentBytes ?? 0,
    }));
  }

  async #replicate(peer: PeerProgress): Promise<void> {
    const { options, log } = this.#parts;
    const caller = options.findPeer(peer.member);
    const pause = options.timing.electionMilliseconds / BUSY_HEARTBEATS;
    const beats = setInterval(
      () => void this.#beatIfBusy(peer, { caller, pause }),
      pause,
    );
    while (!this.#over && !peer.removed) {
      await this.#waitForWork(peer);
      if (this.#over || peer.removed) break;
      if (!this.#isFed(peer)) {
        await this.#sendHeartbeat(peer, caller);
      } else if (peer.nextIndex <= log.baseIndex) {
        await this.#sendSnapshot(peer, caller);
      } else await this.#sendEntries(peer, caller);
    }
    clearInterval(beats);
  }

  /** A member that takes long over its entries must still hear its leader. */
  async #beatIfBusy(
    peer: PeerProgress,
    parts: { readonly caller: Caller; readonly pause: number },
  ): Promise<void> {
    if (this.#over || peer.removed || !peer.isBusy) return;
    if (performance.now() - peer.sentAt < parts.pause) return;
    await this.#callHeartbeat(peer, parts.caller);
  }

  /** Tells a member that gets no entries for now that its leader is there. */
  async #sendHeartbeat(peer: PeerProgress, caller: Caller): Promise<void> {
    peer.sentAt = performance.now();
    const isHeard = await this.#callHeartbeat(peer, caller);
    if (!isHeard && !this.#over) await sleep(RETRY_MILLISECONDS);
  }

  /** Sends a message without entries; false if it was not answered. */
  async #callHeartbeat(peer: PeerProgress, caller: Caller): Promise<boolean> {
    const sentAt = performance.now();
    const reply = await this.#callAppend(caller, {
      peer,
      // Before the first answer nothing is known, and the end of the own log
      // finds out how far the member is.
      previousIndex: peer.matchIndex || peer.nextIndex - 1,
      entries: [],
      timeouts: 1,
    });
    if (this.#over || peer.removed || reply.err) return false;
    this.#noteHeard(peer, { reply: reply.val, sentAt });
    return true;
  }

  /** True if a member gets entries now: spares yield while a quorum is behind. */
  #isFed(peer: PeerProgress): boolean {
    if (isVoter(peer)) return true;
    if (isCold(peer)) return false;
    const { log, getCommitIndex } = this.#parts;
    return log.lastIndex - getCommitIndex() <= YIELD_ENTRIES;
  }

  /** Time until a member should get entries, ms; Infinity if there are none. */
  #findEntryWait(peer: PeerProgress, now: number): number {
    if (!this.#isFed(peer)) return Infinity;
    const behind = this.#parts.log.lastIndex - peer.nextIndex + 1;
    if (isVoter(peer)) return behind > 0 ? 0 : Infinity;
    return findSpareWait({ behind, sentAt: peer.sentAt, now });
  }

  async #waitForWork(peer: PeerProgress): Promise<void> {
    while (!this.#over && !peer.removed) {
      const now = performance.now();
      const wait = this.#findEntryWait(peer, now);
      if (wait <= 0) return;
      // Only an answer of a voter confirms a leadership.
      if (isVoter(peer) && peer.sentAt <= this.#confirmAt) return;
      const left = peer.sentAt + this.#findHeartbeat(peer) - now;
      if (left <= 0) return;
      const signal = isCold(peer) ? this.#changed : this.#work;
      await signal.wait(Math.min(left, wait));
    }
  }

  /**
   * Time between two heartbeats to a member, ms. A spare elects nobody: it is
   * to know that there is a leader, and the leader that it is there. On an idle
   * site of 8 stores that leaves half of the leader's messages.
   */
  #findHeartbeat(peer: PeerProgress): number {
    const { timing } = this.#parts.options;
    return isVoter(peer)
      ? timing.heartbeatMilliseconds
      : timing.electionMilliseconds;
  }

  async #sendEntries(peer: PeerProgress, caller: Caller): Promise<void> {
    const sentAt = performance.now();
    peer.sentAt = sentAt;
    peer.isBusy = true;
    const entries = this.#parts.log.slice(peer.nextIndex, peer.messageBytes);
    const reply = await this.#callAppend(caller, {
      peer,
      previousIndex: peer.nextIndex - 1,
      entries,
      timeouts: APPEND_TIMEOUTS,
    });
    peer.isBusy = false;
    peer.messageBytes = findMessageBytes(peer.messageBytes, {
      sent: sumBytes(entries),
      milliseconds: performance.now() - sentAt,
    });
    if (this.#over || peer.removed) return;
    if (reply.err) return await sleep(RETRY_MILLISECONDS);
    this.#takeReply(peer, { reply: reply.val, sentAt });
  }

  async #callAppend(
    caller: Caller,
    plan: {
      readonly peer: PeerProgress;
      readonly previousIndex: number;
      readonly entries: AppendRequest["entries"];
      /** Longest wait, in election timeouts. */
      readonly timeouts: number;
    },
  ): Promise<Outcome<AppendReply>> {
    const { log, options } = this.#parts;
    const { peer, previousIndex, entries, timeouts } = plan;
    const request: AppendRequest = {
      group: options.group,
      term: this.term,
      from: options.identity,
      toIncarnation: peer.member.incarnation,
      previousIndex,
      previousTerm: log.findTerm(previousIndex) ?? 0,
      entries,
      commitIndex: this.#parts.getCommitIndex(),
      // Whoever is wanted as a voter is not well before it has caught up.
      ...(isCold(peer) && !this.#isShortOfVoters ? { isCold: true } : {}),
    };
    return await caller.call("consensus.append", request, {
      timeoutMilliseconds: timeouts * options.timing.electionMilliseconds,
    });
  }

  /** Takes from an answer that the member was there, and the term it knows. */
  #noteHeard(
    peer: PeerProgress,
    answer: { readonly reply: AppendReply; readonly sentAt: number },
  ): void {
    const { reply, sentAt } = answer;
    if (reply.term > this.term) return this.#parts.onHigherTerm(reply.term);
    peer.heardAt = performance.now();
    peer.reportedIndex = Math.max(peer.reportedIndex, reply.matchIndex);
    peer.ackedSentAt = Math.max(peer.ackedSentAt, sentAt);
    this.#acked.wake();
  }

  #takeReply(
    peer: PeerProgress,
    answer: { readonly reply: AppendReply; readonly sentAt: number },
  ): void {
    const { reply } = answer;
    this.#noteHeard(peer, answer);
    if (this.#over) return;
    if (!reply.accepted) {
      peer.nextIndex = Math.max(
        1,
        Math.min(peer.nextIndex - 1, reply.matchIndex + 1),
      );
      return;
    }
    peer.matchIndex = Math.max(peer.matchIndex, reply.matchIndex);
    peer.nextIndex = peer.matchIndex + 1;
    this.advanceCommit();
  }

  /**
   * Sends snapshots to one member at a time: several at once would each take
   * several times as long, and the entries of the others wait behind them.
   */
  async #sendSnapshot(peer: PeerProgress, caller: Caller): Promise<void> {
    const turn = this.#snapshotTurn.then(() =>
      this.#sendSnapshotNow(peer, caller)
    );
    this.#snapshotTurn = turn.catch(() => undefined);
    // A member that waits for its turn must still hear its leader.
    peer.isBusy = true;
    await turn;
    peer.isBusy = false;
  }

  async #sendSnapshotNow(peer: PeerProgress, caller: Caller): Promise<void> {
    if (this.#over || peer.removed) return;
    const { options } = this.#parts;
    const snapshot = await options.folder.snapshots.open(options.group);
    if (snapshot === undefined) return await sleep(RETRY_MILLISECONDS);
    peer.sentAt = performance.now();
    const reply = await sendSnapshot(snapshot, {
      caller,
      term: this.term,
      from: options.identity,
      toIncarnation: peer.member.incarnation,
      isWanted: () => !this.#over && !peer.removed,
    }).finally(() => snapshot.close());
    if (this.#over || peer.removed) return;
    if (reply.err) {
      options.logger.warn("Snapshot not sent", {
        group: options.group,
        to: peer.member.replicaId,
        reason: reply.val.message,
      });
      return await sleep(RETRY_MILLISECONDS);
    }
    if (reply.val.term > this.term) {
      return this.#parts.onHigherTerm(reply.val.term);
    }
    peer.heardAt = performance.now();
    const { lastIndex } = snapshot.point;
    peer.matchIndex = Math.max(peer.matchIndex, lastIndex);
    peer.nextIndex = peer.matchIndex + 1;
  }
}

function isVoter(peer: PeerProgress): boolean {
  return peer.member.role === MEMBER_ROLES.VOTER;
}

/** True for a spare that gets no entries. */
function isCold(peer: PeerProgress): boolean {
  return !isVoter(peer) && !peer.isWarm;
}

function sumBytes(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.payload.length, 0);
}

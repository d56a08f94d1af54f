/** Replicates the leader's log to one other member until the leadership ends. */

import { performance } from "node:perf_hooks";
import {
  type AppendReply,
  type AppendRequest,
  computeMessageBytes,
  type LogEntry,
  type Outcome,
  type SerialQueue,
  sleep,
  type WakeSignal,
} from "@mallowlift/core";
import type { PeerClient } from "@mallowlift/transport";
import type { GroupLog } from "./group_log.ts";
import type { GroupOptions } from "./group_options.ts";
import { isCold, isVoter, type PeerProgress } from "./peer_progress.ts";
import type { StoredSnapshot } from "../storage/snapshot_store.ts";
import { sendSnapshot } from "./send_snapshot.ts";
import { recordSnapshotTime, SNAPSHOT_KINDS } from "./snapshot_metrics.ts";
import { findSpareBatchDelay } from "./spare_batching.ts";

const RETRY_MILLISECONDS = 20;
/**
 * Timeout of a request with entries, in election timeouts. Entries that are
 * queued on a saturated connection still arrive, and sending them again would
 * add to the queue. A broken connection ends the wait at once.
 */
const APPEND_TIMEOUTS = 10;
/** Heartbeats per election timeout to a member with a request or snapshot in flight. */
const BUSY_HEARTBEATS_PER_TIMEOUT = 2;

/**
 * Uncommitted entries above which spares receive no entries, so that the voters
 * get the leader's full bandwidth: about as many as a busy site proposes in a
 * quarter of a second.
 */
const MAX_BACKLOG_ENTRIES_FOR_SPARES = 200;

/** The part of a leadership that its replication tasks use. */
export interface LeadershipView {
  readonly term: number;
  readonly isOver: boolean;
  /** Voters with no request sent after this time are sent a heartbeat at once. */
  readonly confirmSince: number;
  /** True while the group has fewer voters than configured. */
  readonly isShortOfVoters: boolean;
  /** Commits the entries that a quorum of voters has on disk. */
  advanceCommit(): void;
}

/** State that the replication tasks of all members share. */
export interface ReplicationContext {
  readonly leadership: LeadershipView;
  readonly options: GroupOptions;
  readonly log: GroupLog;
  /** Wakes the tasks of members that receive entries. */
  readonly entriesWake: WakeSignal;
  /** Wakes the tasks of cold spares, which receive no entries. */
  readonly changed: WakeSignal;
  /** Woken when a member has replied. */
  readonly acked: WakeSignal;
  /** Sends snapshots to one member at a time. */
  readonly snapshotQueue: SerialQueue;
  readonly getCommitIndex: () => number;
  /** Called when a peer reports a later term. */
  readonly onHigherTerm: (term: number) => void;
}

interface TimedReply {
  readonly reply: AppendReply;
  /** When the request was sent. */
  readonly sentAt: number;
}

/** Replication task of one member. */
export class PeerReplication {
  readonly #peer: PeerProgress;
  readonly #client: PeerClient;
  readonly #context: ReplicationContext;

  constructor(peer: PeerProgress, context: ReplicationContext) {
    this.#peer = peer;
    this.#context = context;
    this.#client = context.options.findPeer(peer.member);
  }

  /** Replicates until the leadership ends or the member is removed. */
  async run(): Promise<void> {
    const { options, log } = this.#context;
    const peer = this.#peer;
    const interval = options.timing.electionMilliseconds /
      BUSY_HEARTBEATS_PER_TIMEOUT;
    const heartbeatTimer = setInterval(
      () => void this.#sendHeartbeatIfBusy(interval),
      interval,
    );
    while (!this.#isOver) {
      await this.#waitForWork();
      if (this.#isOver) break;
      if (!this.#receivesEntries()) {
        await this.#sendHeartbeat();
      } else if (peer.nextIndex <= log.baseIndex) {
        await this.#sendSnapshot();
      } else await this.#sendEntries();
    }
    clearInterval(heartbeatTimer);
  }

  get #isOver(): boolean {
    return this.#context.leadership.isOver || this.#peer.removed;
  }

  /**
   * Sends a heartbeat beside a request that takes long, so that the member does
   * not start an election.
   */
  async #sendHeartbeatIfBusy(interval: number): Promise<void> {
    if (this.#isOver || !this.#peer.isBusy) return;
    if (performance.now() - this.#peer.lastSentAt < interval) return;
    await this.#callHeartbeat();
  }

  /** Sends a heartbeat to a member that receives no entries at present. */
  async #sendHeartbeat(): Promise<void> {
    this.#peer.lastSentAt = performance.now();
    const isAnswered = await this.#callHeartbeat();
    if (!isAnswered && !this.#isOver) await sleep(RETRY_MILLISECONDS);
  }

  /** Sends a request without entries; returns false if it was not answered. */
  async #callHeartbeat(): Promise<boolean> {
    const peer = this.#peer;
    const sentAt = performance.now();
    const reply = await this.#callAppend({
      // Before the first reply the member's log is unknown. Probing with the end
      // of the leader's log makes the member report how far its log reaches.
      previousIndex: peer.matchIndex || peer.nextIndex - 1,
      entries: [],
      timeouts: 1,
    });
    if (this.#isOver || reply.err) return false;
    this.#recordReply({ reply: reply.val, sentAt });
    return true;
  }

  /** True if the member receives entries now; spares do not while a quorum lags. */
  #receivesEntries(): boolean {
    const peer = this.#peer;
    if (isVoter(peer)) return true;
    if (isCold(peer)) return false;
    const { log, getCommitIndex } = this.#context;
    return log.lastIndex - getCommitIndex() <= MAX_BACKLOG_ENTRIES_FOR_SPARES;
  }

  /** Returns the time until the member should be sent entries, ms; Infinity if there are none. */
  #findEntryDelay(now: number): number {
    const peer = this.#peer;
    if (!this.#receivesEntries()) return Infinity;
    const behind = this.#context.log.lastIndex - peer.nextIndex + 1;
    if (isVoter(peer)) return behind > 0 ? 0 : Infinity;
    return findSpareBatchDelay({ behind, sentAt: peer.lastSentAt, now });
  }

  async #waitForWork(): Promise<void> {
    const peer = this.#peer;
    const { leadership, entriesWake: work, changed } = this.#context;
    while (!this.#isOver) {
      const now = performance.now();
      const wait = this.#findEntryDelay(now);
      if (wait <= 0) return;
      // Only replies of voters confirm the leadership.
      if (isVoter(peer) && peer.lastSentAt <= leadership.confirmSince) return;
      const remaining = peer.lastSentAt + this.#findHeartbeatInterval() - now;
      if (remaining <= 0) return;
      const signal = isCold(peer) ? changed : work;
      await signal.wait(Math.min(remaining, wait));
    }
  }

  /**
   * Returns the heartbeat interval of the member, ms. Spares take no part in
   * elections, so heartbeats only show the spare and the leader that the other
   * is alive; one per election timeout is enough.
   */
  #findHeartbeatInterval(): number {
    const { timing } = this.#context.options;
    return isVoter(this.#peer)
      ? timing.heartbeatMilliseconds
      : timing.electionMilliseconds;
  }

  async #sendEntries(): Promise<void> {
    const peer = this.#peer;
    const sentAt = performance.now();
    peer.lastSentAt = sentAt;
    peer.isBusy = true;
    const entries = this.#context.log.slice(peer.nextIndex, peer.messageBytes);
    const reply = await this.#callAppend({
      previousIndex: peer.nextIndex - 1,
      entries,
      timeouts: APPEND_TIMEOUTS,
    });
    peer.isBusy = false;
    peer.messageBytes = computeMessageBytes(peer.messageBytes, {
      sent: sumBytes(entries),
      milliseconds: performance.now() - sentAt,
    });
    if (this.#isOver) return;
    if (reply.err) return await sleep(RETRY_MILLISECONDS);
    this.#handleAppendReply({ reply: reply.val, sentAt });
  }

  async #callAppend(plan: {
    readonly previousIndex: number;
    readonly entries: AppendRequest["entries"];
    /** Request timeout, in election timeouts. */
    readonly timeouts: number;
  }): Promise<Outcome<AppendReply>> {
    const { log, options, leadership } = this.#context;
    const peer = this.#peer;
    const { previousIndex, entries, timeouts } = plan;
    const request: AppendRequest = {
      group: options.group,
      term: leadership.term,
      from: options.identity,
      toIncarnation: peer.member.incarnation,
      previousIndex,
      previousTerm: log.findTerm(previousIndex) ?? 0,
      entries,
      commitIndex: this.#context.getCommitIndex(),
      // While voters are missing, a spare is not marked as cold: a cold spare
      // reports itself healthy without having caught up.
      ...(isCold(peer) && !leadership.isShortOfVoters ? { isCold: true } : {}),
    };
    return await this.#client.call("consensus.append", request, {
      timeoutMilliseconds: timeouts * options.timing.electionMilliseconds,
    });
  }

  /** Records the contact with the member and checks the term of its reply. */
  #recordReply(answer: TimedReply): void {
    const peer = this.#peer;
    const { leadership, onHigherTerm } = this.#context;
    const { reply, sentAt } = answer;
    if (reply.term > leadership.term) return onHigherTerm(reply.term);
    peer.lastReplyAt = performance.now();
    peer.reportedIndex = Math.max(peer.reportedIndex, reply.matchIndex);
    peer.lastAckedSentAt = Math.max(peer.lastAckedSentAt, sentAt);
    this.#context.acked.wake();
  }

  #handleAppendReply(answer: TimedReply): void {
    const peer = this.#peer;
    const { reply } = answer;
    this.#recordReply(answer);
    if (this.#isOver) return;
    if (!reply.accepted) {
      peer.nextIndex = Math.max(
        1,
        Math.min(peer.nextIndex - 1, reply.matchIndex + 1),
      );
      return;
    }
    peer.matchIndex = Math.max(peer.matchIndex, reply.matchIndex);
    peer.nextIndex = peer.matchIndex + 1;
    this.#context.leadership.advanceCommit();
  }

  /**
   * Sends a snapshot when no other member is being sent one. Snapshots that are
   * sent at the same time share the bandwidth: each takes several times as long
   * and delays the entries for the other members.
   */
  async #sendSnapshot(): Promise<void> {
    const peer = this.#peer;
    const sending = this.#context.snapshotQueue.run(() =>
      this.#sendSnapshotNow()
    );
    // The member must receive heartbeats also while it waits in the queue.
    peer.isBusy = true;
    await sending;
    peer.isBusy = false;
  }

  async #sendSnapshotNow(): Promise<void> {
    if (this.#isOver) return;
    const peer = this.#peer;
    const { options, leadership, onHigherTerm } = this.#context;
    const snapshot = await options.folder.snapshots.open(options.group);
    if (snapshot === undefined) return await sleep(RETRY_MILLISECONDS);
    const startedAt = performance.now();
    peer.lastSentAt = startedAt;
    const reply = await sendSnapshot(snapshot, {
      caller: this.#client,
      term: leadership.term,
      from: options.identity,
      toIncarnation: peer.member.incarnation,
      isStillLeading: () => !this.#isOver,
    }).finally(() => snapshot.close());
    if (this.#isOver) return;
    if (reply.err) {
      options.logger.warn("Snapshot not sent", {
        group: options.group,
        to: peer.member.replicaId,
        reason: reply.val.message,
      });
      return await sleep(RETRY_MILLISECONDS);
    }
    if (reply.val.term > leadership.term) return onHigherTerm(reply.val.term);
    peer.lastReplyAt = performance.now();
    this.#reportSnapshotSent(snapshot, performance.now() - startedAt);
    const { lastIndex } = snapshot.metadata;
    peer.matchIndex = Math.max(peer.matchIndex, lastIndex);
    peer.nextIndex = peer.matchIndex + 1;
  }

  #reportSnapshotSent(
    { metadata, size }: StoredSnapshot,
    milliseconds: number,
  ): void {
    const { options } = this.#context;
    recordSnapshotTime(options, { kind: SNAPSHOT_KINDS.SENT, milliseconds });
    options.logger.info("Snapshot sent", {
      group: options.group,
      to: this.#peer.member.replicaId,
      lastIndex: metadata.lastIndex,
      bytes: size,
      milliseconds: Math.round(milliseconds),
    });
  }
}

function sumBytes(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.payload.length, 0);
}

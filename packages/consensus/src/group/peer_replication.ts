/** Keeps one other member up to date for as long as a replica leads. */

import { performance } from "node:perf_hooks";
import {
  type AppendReply,
  type AppendRequest,
  findMessageBytes,
  type LogEntry,
  type Outcome,
  sleep,
  type TurnQueue,
  type WakeSignal,
} from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";
import type { GroupLog } from "./group_log.ts";
import type { GroupOptions } from "./group_options.ts";
import { isCold, isVoter, type PeerProgress } from "./peer_progress.ts";
import type { StoredSnapshot } from "../storage/snapshot_store.ts";
import { sendSnapshot } from "./send_snapshot.ts";
import { noteSnapshot, SNAPSHOT_KINDS } from "./snapshot_times.ts";
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

/** What a task knows of the leadership that it belongs to. */
export interface LeadershipView {
  readonly term: number;
  readonly isOver: boolean;
  /** Voters that were sent nothing since are to answer at once. */
  readonly confirmAt: number;
  /** True while the group has fewer voters than it should. */
  readonly isShortOfVoters: boolean;
  /** Commits what a quorum of voters has on disk. */
  advanceCommit(): void;
}

/** What the tasks of all members share. */
export interface ReplicationParts {
  readonly leadership: LeadershipView;
  readonly options: GroupOptions;
  readonly log: GroupLog;
  /** Wakes tasks when there are new entries. */
  readonly work: WakeSignal;
  /** Wakes tasks of members that get no entries. */
  readonly changed: WakeSignal;
  /** Woken when a member has answered. */
  readonly acked: WakeSignal;
  /** Snapshots are sent to one member after the other. */
  readonly snapshots: TurnQueue;
  readonly getCommitIndex: () => number;
  /** A peer knows a later term. */
  readonly onHigherTerm: (term: number) => void;
}

interface Answer {
  readonly reply: AppendReply;
  readonly sentAt: number;
}

/** The task of one member. */
export class PeerReplication {
  readonly #peer: PeerProgress;
  readonly #caller: Caller;
  readonly #parts: ReplicationParts;

  constructor(peer: PeerProgress, parts: ReplicationParts) {
    this.#peer = peer;
    this.#parts = parts;
    this.#caller = parts.options.findPeer(peer.member);
  }

  /** Replicates until the leadership is over or the member is removed. */
  async run(): Promise<void> {
    const { options, log } = this.#parts;
    const peer = this.#peer;
    const pause = options.timing.electionMilliseconds / BUSY_HEARTBEATS;
    const beats = setInterval(() => void this.#beatIfBusy(pause), pause);
    while (!this.#isOver) {
      await this.#waitForWork();
      if (this.#isOver) break;
      if (!this.#isFed()) {
        await this.#sendHeartbeat();
      } else if (peer.nextIndex <= log.baseIndex) {
        await this.#sendSnapshot();
      } else await this.#sendEntries();
    }
    clearInterval(beats);
  }

  get #isOver(): boolean {
    return this.#parts.leadership.isOver || this.#peer.removed;
  }

  /** A member that takes long over its entries must still hear its leader. */
  async #beatIfBusy(pause: number): Promise<void> {
    if (this.#isOver || !this.#peer.isBusy) return;
    if (performance.now() - this.#peer.sentAt < pause) return;
    await this.#callHeartbeat();
  }

  /** Tells a member that gets no entries for now that its leader is there. */
  async #sendHeartbeat(): Promise<void> {
    this.#peer.sentAt = performance.now();
    const isHeard = await this.#callHeartbeat();
    if (!isHeard && !this.#isOver) await sleep(RETRY_MILLISECONDS);
  }

  /** Sends a message without entries; false if it was not answered. */
  async #callHeartbeat(): Promise<boolean> {
    const peer = this.#peer;
    const sentAt = performance.now();
    const reply = await this.#callAppend({
      // Before the first answer nothing is known, and the end of the own log
      // finds out how far the member is.
      previousIndex: peer.matchIndex || peer.nextIndex - 1,
      entries: [],
      timeouts: 1,
    });
    if (this.#isOver || reply.err) return false;
    this.#noteHeard({ reply: reply.val, sentAt });
    return true;
  }

  /** True if a member gets entries now: spares yield while a quorum is behind. */
  #isFed(): boolean {
    const peer = this.#peer;
    if (isVoter(peer)) return true;
    if (isCold(peer)) return false;
    const { log, getCommitIndex } = this.#parts;
    return log.lastIndex - getCommitIndex() <= YIELD_ENTRIES;
  }

  /** Time until a member should get entries, ms; Infinity if there are none. */
  #findEntryWait(now: number): number {
    const peer = this.#peer;
    if (!this.#isFed()) return Infinity;
    const behind = this.#parts.log.lastIndex - peer.nextIndex + 1;
    if (isVoter(peer)) return behind > 0 ? 0 : Infinity;
    return findSpareWait({ behind, sentAt: peer.sentAt, now });
  }

  async #waitForWork(): Promise<void> {
    const peer = this.#peer;
    const { leadership, work, changed } = this.#parts;
    while (!this.#isOver) {
      const now = performance.now();
      const wait = this.#findEntryWait(now);
      if (wait <= 0) return;
      // Only an answer of a voter confirms a leadership.
      if (isVoter(peer) && peer.sentAt <= leadership.confirmAt) return;
      const left = peer.sentAt + this.#findHeartbeat() - now;
      if (left <= 0) return;
      const signal = isCold(peer) ? changed : work;
      await signal.wait(Math.min(left, wait));
    }
  }

  /**
   * Time between two heartbeats to a member, ms. A spare elects nobody: it is
   * to know that there is a leader, and the leader that it is there.
   */
  #findHeartbeat(): number {
    const { timing } = this.#parts.options;
    return isVoter(this.#peer)
      ? timing.heartbeatMilliseconds
      : timing.electionMilliseconds;
  }

  async #sendEntries(): Promise<void> {
    const peer = this.#peer;
    const sentAt = performance.now();
    peer.sentAt = sentAt;
    peer.isBusy = true;
    const entries = this.#parts.log.slice(peer.nextIndex, peer.messageBytes);
    const reply = await this.#callAppend({
      previousIndex: peer.nextIndex - 1,
      entries,
      timeouts: APPEND_TIMEOUTS,
    });
    peer.isBusy = false;
    peer.messageBytes = findMessageBytes(peer.messageBytes, {
      sent: sumBytes(entries),
      milliseconds: performance.now() - sentAt,
    });
    if (this.#isOver) return;
    if (reply.err) return await sleep(RETRY_MILLISECONDS);
    this.#takeReply({ reply: reply.val, sentAt });
  }

  async #callAppend(plan: {
    readonly previousIndex: number;
    readonly entries: AppendRequest["entries"];
    /** Longest wait, in election timeouts. */
    readonly timeouts: number;
  }): Promise<Outcome<AppendReply>> {
    const { log, options, leadership } = this.#parts;
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
      commitIndex: this.#parts.getCommitIndex(),
      // Whoever is wanted as a voter is not well before it has caught up.
      ...(isCold(peer) && !leadership.isShortOfVoters ? { isCold: true } : {}),
    };
    return await this.#caller.call("consensus.append", request, {
      timeoutMilliseconds: timeouts * options.timing.electionMilliseconds,
    });
  }

  /** Takes from an answer that the member was there, and the term it knows. */
  #noteHeard(answer: Answer): void {
    const peer = this.#peer;
    const { leadership, onHigherTerm } = this.#parts;
    const { reply, sentAt } = answer;
    if (reply.term > leadership.term) return onHigherTerm(reply.term);
    peer.heardAt = performance.now();
    peer.reportedIndex = Math.max(peer.reportedIndex, reply.matchIndex);
    peer.ackedSentAt = Math.max(peer.ackedSentAt, sentAt);
    this.#parts.acked.wake();
  }

  #takeReply(answer: Answer): void {
    const peer = this.#peer;
    const { reply } = answer;
    this.#noteHeard(answer);
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
    this.#parts.leadership.advanceCommit();
  }

  /**
   * Sends snapshots to one member at a time: several at once would each take
   * several times as long, and the entries of the others wait behind them.
   */
  async #sendSnapshot(): Promise<void> {
    const peer = this.#peer;
    const turn = this.#parts.snapshots.run(() => this.#sendSnapshotNow());
    // A member that waits for its turn must still hear its leader.
    peer.isBusy = true;
    await turn;
    peer.isBusy = false;
  }

  async #sendSnapshotNow(): Promise<void> {
    if (this.#isOver) return;
    const peer = this.#peer;
    const { options, leadership, onHigherTerm } = this.#parts;
    const snapshot = await options.folder.snapshots.open(options.group);
    if (snapshot === undefined) return await sleep(RETRY_MILLISECONDS);
    const startedAt = performance.now();
    peer.sentAt = startedAt;
    const reply = await sendSnapshot(snapshot, {
      caller: this.#caller,
      term: leadership.term,
      from: options.identity,
      toIncarnation: peer.member.incarnation,
      isWanted: () => !this.#isOver,
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
    peer.heardAt = performance.now();
    this.#noteSent(snapshot, performance.now() - startedAt);
    const { lastIndex } = snapshot.point;
    peer.matchIndex = Math.max(peer.matchIndex, lastIndex);
    peer.nextIndex = peer.matchIndex + 1;
  }

  #noteSent({ point, size }: StoredSnapshot, milliseconds: number): void {
    const { options } = this.#parts;
    noteSnapshot(options, { kind: SNAPSHOT_KINDS.SENT, milliseconds });
    options.logger.info("Snapshot sent", {
      group: options.group,
      to: this.#peer.member.replicaId,
      lastIndex: point.lastIndex,
      bytes: size,
      milliseconds: Math.round(milliseconds),
    });
  }
}

function sumBytes(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.payload.length, 0);
}

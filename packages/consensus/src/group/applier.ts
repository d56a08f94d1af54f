/** Applies committed entries, answers their proposers, and takes snapshots. */

import { performance } from "node:perf_hooks";
import { setImmediate as nextTurn } from "node:timers/promises";
import { decode } from "cbor-x";
import {
  createDeferred,
  type Deferred,
  ENTRY_KINDS,
  fail,
  type LogEntry,
  type Outcome,
  RESULT_CODES,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import type { Snapshot } from "../storage/snapshot_store.ts";
import type { EntryStore } from "./entry_store.ts";
import type { GroupOptions } from "./group_options.ts";
import { findCost, LARGE_COST, type WaitingEntries } from "./proposal_gate.ts";
import { noteSnapshot, SNAPSHOT_KINDS } from "./snapshot_times.ts";

/** Least part of the entries of the settings after which a snapshot is taken. */
const LEAST_SNAPSHOT_SHARE = 0.5;

/**
 * Part of the entries of the settings that are kept beyond a snapshot for
 * members that lack them: it bounds the memory for one that stays behind.
 */
const KEPT_SHARE = 0.5;

/**
 * Entries of others that are applied before the event loop runs again. After a
 * start all voters replay their logs at once, and must hear their leader
 * meanwhile.
 */
const STEP_ENTRIES = 128;

/** A committed command and what the state machine made of it. */
export interface Applied {
  readonly index: number;
  readonly result: unknown;
}

interface Proposal {
  readonly term: number;
  /** When it was proposed, by the monotonic clock. */
  readonly at: number;
  readonly cost: number;
  readonly done: Deferred<Outcome<Applied>>;
}

/** Drives the state machine of a group. */
export class Applier {
  readonly #options: GroupOptions;
  readonly #store: EntryStore;
  readonly #proposals = new Map<number, Proposal>();
  #commitIndex: number;
  #appliedIndex: number;
  /** Cost of all own proposals. */
  #waitingCost = 0;
  /** Costs of the large ones by index; seldom any. */
  readonly #largeCosts = new Map<number, number>();
  #isApplying = false;
  #snapshotting = false;
  #snapshotShare = chooseSnapshotShare();
  #snapshotIndex: number;
  /** Last entry that no member lacks; set by the group, which knows while it leads. */
  getWantedIndex: () => number = () => Infinity;

  constructor(options: GroupOptions, store: EntryStore) {
    const { snapshot } = options.folder.getStored(options.group);
    this.#options = options;
    this.#store = store;
    this.#commitIndex = snapshot?.lastIndex ?? 0;
    this.#appliedIndex = this.#commitIndex;
    this.#snapshotIndex = this.#commitIndex;
    options.stateMachine.restore(snapshot?.state ?? new Uint8Array());
  }

  /** Last entry that is known to be committed. */
  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** Last entry that the state machine has applied. */
  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** Own proposals that are not decided yet; they were made in order. */
  get waiting(): WaitingEntries {
    const [oldest] = this.#proposals.values();
    return {
      cost: this.#waitingCost,
      largestCost: Math.max(0, ...this.#largeCosts.values()),
      oldestAt: oldest?.at ?? Infinity,
    };
  }

  /** Waits for an entry that is about to be appended. */
  waitFor(entry: LogEntry, now: number): Promise<Outcome<Applied>> {
    const proposal: Proposal = {
      term: entry.term,
      at: now,
      cost: findCost(entry.payload.length),
      done: createDeferred(),
    };
    this.#waitingCost += proposal.cost;
    if (proposal.cost > LARGE_COST) {
      this.#largeCosts.set(entry.index, proposal.cost);
    }
    this.#proposals.set(entry.index, proposal);
    return proposal.done.promise;
  }

  /** Ends all proposals: their entries may or may not become committed. */
  loseProposals(): void {
    for (const proposal of this.#proposals.values()) {
      proposal.done.resolve(loseLeadership());
    }
    this.#proposals.clear();
    this.#waitingCost = 0;
    this.#largeCosts.clear();
  }

  /** Applies what is committed up to an index; a long replay goes on in steps. */
  commitUntil(index: number): void {
    if (index <= this.#commitIndex) return;
    this.#commitIndex = index;
    if (!this.#isApplying) void this.#applyCommitted();
  }

  /** Own proposals are applied without a pause: the leader counts them as they end. */
  async #applyCommitted(): Promise<void> {
    this.#isApplying = true;
    let replayed = 0;
    while (this.#appliedIndex < this.#commitIndex) {
      const entry = this.#store.log.get(this.#appliedIndex + 1);
      if (entry === undefined) break;
      if (!this.#proposals.has(entry.index)) replayed++;
      this.#appliedIndex = entry.index;
      this.#apply(entry);
      if (replayed < STEP_ENTRIES) continue;
      await nextTurn();
      replayed = 0;
    }
    this.#isApplying = false;
    void this.#snapshotIfDue();
  }

  /** Puts a snapshot of the leader in place of the own state and log. */
  async install(snapshot: Snapshot): Promise<void> {
    const { lastIndex, lastTerm, members, state } = snapshot;
    if (lastIndex <= this.#commitIndex) return;
    const startedAt = performance.now();
    await this.#options.folder.installSnapshot(snapshot);
    if (lastIndex <= this.#commitIndex) return;
    this.#store.reset(lastIndex, lastTerm, { members });
    this.#options.stateMachine.restore(state);
    this.#commitIndex = lastIndex;
    this.#appliedIndex = lastIndex;
    this.#snapshotIndex = lastIndex;
    const milliseconds = performance.now() - startedAt;
    noteSnapshot(this.#options, {
      kind: SNAPSHOT_KINDS.INSTALLED,
      milliseconds,
    });
    this.#options.logger.info("Snapshot installed", {
      group: snapshot.group,
      lastIndex,
      milliseconds: Math.round(milliseconds),
    });
  }

  #apply(entry: LogEntry): void {
    let result: unknown;
    if (entry.kind === ENTRY_KINDS.COMMAND) {
      const command: unknown = decode(entry.payload);
      result = this.#options.stateMachine.apply(command, entry.index);
    }
    const proposal = this.#proposals.get(entry.index);
    if (proposal === undefined) return;
    this.#proposals.delete(entry.index);
    this.#waitingCost -= proposal.cost;
    this.#largeCosts.delete(entry.index);
    const isOwn = proposal.term === entry.term;
    proposal.done.resolve(
      isOwn ? Ok({ index: entry.index, result }) : loseLeadership(),
    );
  }

  /**
   * Drops what the last snapshot covers, but for what members that are there
   * still lack: sent their entries they are up to date in a second or two,
   * where a whole state for each of them fills the leader's way for many.
   */
  #dropEntries(): void {
    const most = KEPT_SHARE * this.#options.timing.snapshotEntries;
    const oldest = Math.floor(this.#snapshotIndex - most);
    const wanted = Math.min(this.#snapshotIndex, this.getWantedIndex());
    this.#store.log.dropUntil(Math.max(oldest, wanted));
  }

  async #snapshotIfDue(): Promise<void> {
    const { log, membership } = this.#store;
    const { timing, folder, stateMachine, group } = this.#options;
    const pending = this.#appliedIndex - this.#snapshotIndex;
    const due = timing.snapshotEntries * this.#snapshotShare;
    if (pending < due || this.#snapshotting) return;
    this.#snapshotting = true;
    this.#snapshotShare = chooseSnapshotShare();
    const startedAt = performance.now();
    const lastIndex = this.#appliedIndex;
    await folder.saveSnapshot({
      group,
      lastIndex,
      lastTerm: log.findTerm(lastIndex) ?? 0,
      members: membership.findAt(lastIndex),
      parts: stateMachine.takeSnapshot(),
    });
    this.#snapshotIndex = lastIndex;
    this.#dropEntries();
    this.#snapshotting = false;
    const milliseconds = performance.now() - startedAt;
    noteSnapshot(this.#options, { kind: SNAPSHOT_KINDS.WRITTEN, milliseconds });
    this.#options.logger.info("Snapshot taken", {
      group,
      lastIndex,
      milliseconds: Math.round(milliseconds),
    });
  }
}

/**
 * Part of the entries after which the next snapshot is taken. All replicas
 * apply the same entries: at a fixed count each would write its state in the
 * same moment, and no quorum would answer meanwhile. On a simulated site of
 * ten stores that cost the leader its place 20 s after the start, in three of
 * three plays.
 */
function chooseSnapshotShare(): number {
  return LEAST_SNAPSHOT_SHARE + (1 - LEAST_SNAPSHOT_SHARE) * Math.random();
}

function loseLeadership() {
  return fail(
    RESULT_CODES.LEADERSHIP_LOST,
    "Leadership was lost before the quorum answered",
  );
}

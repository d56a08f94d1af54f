/**
 * Applies committed entries to the state machine, resolves their proposals, and
 * takes snapshots.
 */

import { performance } from "node:perf_hooks";
import { setImmediate as yieldToEventLoop } from "node:timers/promises";
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
import {
  findCost,
  LARGE_ENTRY_COST,
  type PendingEntries,
} from "./admission_control.ts";
import { recordSnapshotTime, SNAPSHOT_KINDS } from "./snapshot_metrics.ts";

/** Smallest fraction of `snapshotEntries` after which a snapshot is taken. */
const MIN_SNAPSHOT_FRACTION = 0.5;

/**
 * Fraction of `snapshotEntries` that is retained beyond a snapshot for members
 * that lack these entries. It bounds the memory that a lagging member costs.
 */
const RETAINED_FRACTION = 0.5;

/**
 * Entries without a local proposal that are applied before control returns to
 * the event loop. After a start all voters replay their logs at the same time
 * and must still process the heartbeats of their leader.
 */
const REPLAY_STEP_ENTRIES = 128;

/**
 * Index of a committed command and the result that the state machine returned.
 */
export interface Applied {
  readonly index: number;
  readonly result: unknown;
}

interface Proposal {
  readonly term: number;
  /** When the command was proposed, by the monotonic clock, ms. */
  readonly at: number;
  readonly cost: number;
  readonly done: Deferred<Outcome<Applied>>;
}

/** Applies committed entries of a group to its state machine. */
export class Applier {
  readonly #options: GroupOptions;
  readonly #store: EntryStore;
  readonly #proposals = new Map<number, Proposal>();
  #commitIndex: number;
  #appliedIndex: number;
  /** Total cost of the pending proposals. */
  #pendingCost = 0;
  /** Costs of pending proposals above LARGE_ENTRY_COST, by index; usually empty. */
  readonly #largeCostByIndex = new Map<number, number>();
  #isApplying = false;
  #isSnapshotting = false;
  #snapshotFraction = chooseSnapshotFraction();
  #snapshotIndex: number;
  /**
   * Returns the highest index that all members in contact have, except cold
   * spares; Infinity if there are none, and while this replica does not lead.
   * Set by the group.
   */
  getLowestMatchIndex: () => number = () => Infinity;

  constructor(options: GroupOptions, store: EntryStore) {
    const { snapshot } = options.folder.getStored(options.group);
    this.#options = options;
    this.#store = store;
    this.#commitIndex = snapshot?.lastIndex ?? 0;
    this.#appliedIndex = this.#commitIndex;
    this.#snapshotIndex = this.#commitIndex;
    options.stateMachine.restore(snapshot?.state ?? new Uint8Array());
  }

  /** Index of the last entry that is known to be committed. */
  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** Index of the last entry that the state machine has applied. */
  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /**
   * Pending proposals. The map holds them in the order of proposal, so the
   * first is the oldest.
   */
  get waiting(): PendingEntries {
    const [oldest] = this.#proposals.values();
    return {
      cost: this.#pendingCost,
      largestCost: Math.max(0, ...this.#largeCostByIndex.values()),
      oldestAt: oldest?.at ?? Infinity,
    };
  }

  /**
   * Registers a proposal for an entry that is about to be appended. Resolves
   * when the entry has been applied, or fails with LEADERSHIP_LOST.
   */
  addProposal(entry: LogEntry, now: number): Promise<Outcome<Applied>> {
    const proposal: Proposal = {
      term: entry.term,
      at: now,
      cost: findCost(entry.payload.length),
      done: createDeferred(),
    };
    this.#pendingCost += proposal.cost;
    if (proposal.cost > LARGE_ENTRY_COST) {
      this.#largeCostByIndex.set(entry.index, proposal.cost);
    }
    this.#proposals.set(entry.index, proposal);
    return proposal.done.promise;
  }

  /**
   * Fails all pending proposals; their entries may or may not be committed
   * later.
   */
  failPendingProposals(): void {
    for (const proposal of this.#proposals.values()) {
      proposal.done.resolve(failWithLeadershipLost());
    }
    this.#proposals.clear();
    this.#pendingCost = 0;
    this.#largeCostByIndex.clear();
  }

  /**
   * Marks entries up to an index as committed and applies them; a long replay
   * is split into steps.
   */
  commitUntil(index: number): void {
    if (index <= this.#commitIndex) return;
    this.#commitIndex = index;
    if (!this.#isApplying) void this.#applyCommitted();
  }

  /**
   * Applies committed entries in order. Does not pause between entries with a
   * local proposal: the leader compares the pending cost before and after
   * `commitUntil` to find what was committed.
   */
  async #applyCommitted(): Promise<void> {
    this.#isApplying = true;
    let replayed = 0;
    while (this.#appliedIndex < this.#commitIndex) {
      const entry = this.#store.log.get(this.#appliedIndex + 1);
      if (entry === undefined) break;
      if (!this.#proposals.has(entry.index)) replayed++;
      this.#appliedIndex = entry.index;
      this.#apply(entry);
      if (replayed < REPLAY_STEP_ENTRIES) continue;
      await yieldToEventLoop();
      replayed = 0;
    }
    this.#isApplying = false;
    void this.#snapshotIfDue();
  }

  /** Replaces the local state and log by a snapshot from the leader. */
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
    recordSnapshotTime(this.#options, {
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
    this.#pendingCost -= proposal.cost;
    this.#largeCostByIndex.delete(entry.index);
    const isSameEntry = proposal.term === entry.term;
    proposal.done.resolve(
      isSameEntry
        ? Ok({ index: entry.index, result })
        : failWithLeadershipLost(),
    );
  }

  /**
   * Drops the entries that the last snapshot covers, except those that a member
   * in contact still lacks. Sending these entries brings a member up to date in
   * a second or two; sending a whole snapshot to each of them would occupy the
   * leader's network link for many seconds.
   */
  #dropCoveredEntries(): void {
    const maxRetained = RETAINED_FRACTION *
      this.#options.timing.snapshotEntries;
    const retentionIndex = Math.floor(this.#snapshotIndex - maxRetained);
    const replicatedIndex = Math.min(
      this.#snapshotIndex,
      this.getLowestMatchIndex(),
    );
    this.#store.log.dropUntil(Math.max(retentionIndex, replicatedIndex));
  }

  async #snapshotIfDue(): Promise<void> {
    const { log, membership } = this.#store;
    const { timing, folder, stateMachine, group } = this.#options;
    const newEntries = this.#appliedIndex - this.#snapshotIndex;
    const threshold = timing.snapshotEntries * this.#snapshotFraction;
    if (newEntries < threshold || this.#isSnapshotting) return;
    this.#isSnapshotting = true;
    this.#snapshotFraction = chooseSnapshotFraction();
    const startedAt = performance.now();
    const lastIndex = this.#appliedIndex;
    await folder.saveSnapshot({
      group,
      lastIndex,
      lastTerm: log.findTerm(lastIndex) ?? 0,
      members: membership.findAtIndex(lastIndex),
      parts: stateMachine.takeSnapshot(),
    });
    this.#snapshotIndex = lastIndex;
    this.#dropCoveredEntries();
    this.#isSnapshotting = false;
    const milliseconds = performance.now() - startedAt;
    recordSnapshotTime(this.#options, {
      kind: SNAPSHOT_KINDS.WRITTEN,
      milliseconds,
    });
    this.#options.logger.info("Snapshot taken", {
      group,
      lastIndex,
      milliseconds: Math.round(milliseconds),
    });
  }
}

/**
 * Chooses the fraction of `snapshotEntries` after which the next snapshot is
 * taken. All replicas apply the same entries, so with a fixed count they would
 * all write their snapshots at the same moment and no quorum would answer
 * meanwhile. On a site of ten stores the leader then lost its leadership 20 s
 * after the start.
 */
function chooseSnapshotFraction(): number {
  return MIN_SNAPSHOT_FRACTION + (1 - MIN_SNAPSHOT_FRACTION) * Math.random();
}

function failWithLeadershipLost() {
  return fail(
    RESULT_CODES.LEADERSHIP_LOST,
    "Leadership was lost before a quorum acknowledged the entry",
  );
}

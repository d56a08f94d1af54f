/** Waiting turns of one priority, fair between workspaces. */

import type { TurnDemand } from "./turn_demand.ts";
import { type WaitingTurn, WaitingTurns } from "./waiting_turns.ts";
import { WorkspaceUsage } from "./workspace_usage.ts";

/** Waiting turns of one workspace. */
interface WorkspaceTurns {
  readonly started: WaitingTurns;
  readonly first: WaitingTurns;
}

/** A turn that may start next, with what decides between workspaces. */
interface Candidate {
  readonly turn: WaitingTurn;
  /** Turns that its workspace has started beyond its share. */
  readonly excess: number;
}

/**
 * Orders the turns of one priority. Workspaces within their share go before those that
 * exceed it; among these, turns of started programs go before first turns, then those
 * whose programs have the least time left. A workspace that exceeds its share waits
 * behind the others, in order of its excess.
 *
 * @example
 * ```ts
 * const line = new PriorityLine();
 * line.add(turn);
 * line.findNext({ firstToo: true }, now); // turn
 * ```
 */
export class PriorityLine {
  readonly #workspaces = new Map<string, WorkspaceTurns>();
  readonly #usage = new WorkspaceUsage();
  #length = 0;
  #startedLength = 0;

  /** Number of turns that wait. */
  get length(): number {
    return this.#length;
  }

  /** Number of turns of started programs that wait. */
  get startedLength(): number {
    return this.#startedLength;
  }

  /** Counts a turn that starts, also if it did not wait. */
  recordStart(demand: TurnDemand, now: number): void {
    this.#usage.record(demand, now);
  }

  /** Lets a turn wait. */
  add(turn: WaitingTurn): void {
    const { workspace, isStarted } = turn.demand;
    const turns = this.#workspaces.get(workspace) ??
      { started: new WaitingTurns(), first: new WaitingTurns() };
    this.#workspaces.set(workspace, turns);
    select(turns, isStarted).add(turn);
    this.#count(turn, 1);
  }

  /** Removes a turn without a start. */
  remove(turn: WaitingTurn): void {
    const { turnId, workspace, isStarted } = turn.demand;
    const turns = this.#workspaces.get(workspace);
    if (turns === undefined) return;
    if (select(turns, isStarted).remove(turnId)) this.#count(turn, -1);
    this.#dropIfEmpty(workspace, turns);
  }

  /** Removes a turn that starts. */
  start(turn: WaitingTurn, now: number): void {
    const { workspace, isStarted } = turn.demand;
    const turns = this.#workspaces.get(workspace);
    if (turns === undefined) return;
    select(turns, isStarted).start(turn);
    this.#count(turn, -1);
    this.#dropIfEmpty(workspace, turns);
    this.recordStart(turn.demand, now);
  }

  /**
   * Returns the turn that should start next.
   *
   * @param firstToo false if only turns of started programs may start
   */
  findNext(
    { firstToo }: { readonly firstToo: boolean },
    now: number,
  ): WaitingTurn | undefined {
    const share = this.#usage.findShare(now);
    let next: Candidate | undefined;
    for (const [workspace, { started, first }] of this.#workspaces) {
      const turn = started.findNext(now) ??
        (firstToo ? first.findNext(now) : undefined);
      if (turn === undefined) continue;
      const used = this.#usage.find(workspace, now);
      const candidate = { turn, excess: Math.max(0, used - share) };
      if (next === undefined || isBefore(candidate, next, now)) {
        next = candidate;
      }
    }
    return next?.turn;
  }

  /**
   * Returns how many of the waiting turns would start before a new one: of each
   * workspace as many as its own has.
   */
  countBefore(workspace: string, isStarted: boolean): number {
    const own = this.#workspaces.get(workspace);
    const ownCount = own === undefined ? 0 : countRelevant(own, isStarted);
    let before = ownCount;
    for (const [other, turns] of this.#workspaces) {
      if (other === workspace) continue;
      before += Math.min(countRelevant(turns, isStarted), ownCount + 1);
    }
    return before;
  }

  /** Returns the part of the turns of this priority that wait behind a workspace. */
  findPartBehind(workspace: string, now: number): number {
    const exceeds = this.#usage.find(workspace, now) >
      this.#usage.findShare(now);
    return exceeds ? 0 : this.#usage.findExcessPart(now);
  }

  /** Returns the turns that can no longer be served in time. */
  listExpired(now: number): WaitingTurn[] {
    return [...this.#workspaces.values()].flatMap(({ started, first }) => [
      ...started.listExpired(now),
      ...first.listExpired(now),
    ]);
  }

  /** Returns the earliest time at which one can no longer be served in time, ms. */
  findNextGiveUpAt(): number {
    let next = Infinity;
    for (const { started, first } of this.#workspaces.values()) {
      next = Math.min(
        next,
        started.findNextGiveUpAt(),
        first.findNextGiveUpAt(),
      );
    }
    return next;
  }

  #count({ demand }: WaitingTurn, difference: number): void {
    this.#length += difference;
    if (demand.isStarted) this.#startedLength += difference;
  }

  #dropIfEmpty(workspace: string, { started, first }: WorkspaceTurns): void {
    if (started.length + first.length === 0) this.#workspaces.delete(workspace);
  }
}

function select(
  { started, first }: WorkspaceTurns,
  isStarted: boolean,
): WaitingTurns {
  return isStarted ? started : first;
}

/** Turns of a workspace that go before a new one of the same workspace. */
function countRelevant(
  { started, first }: WorkspaceTurns,
  isStarted: boolean,
): number {
  return isStarted ? started.length : started.length + first.length;
}

function isBefore(one: Candidate, other: Candidate, now: number): boolean {
  if (one.excess !== other.excess) return one.excess < other.excess;
  const { demand, finishAt, sequence } = one.turn;
  if (demand.isStarted !== other.turn.demand.isStarted) return demand.isStarted;
  const isLate = finishAt <= now;
  const isOtherLate = other.turn.finishAt <= now;
  if (isLate !== isOtherLate) return isOtherLate;
  if (finishAt !== other.turn.finishAt) return finishAt < other.turn.finishAt;
  return sequence < other.turn.sequence;
}

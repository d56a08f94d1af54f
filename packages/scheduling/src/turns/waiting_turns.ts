/** Order of waiting turns by the time that their programs have left. */

import type { TurnDemand } from "./turn_demand.ts";

/** Time for which a turn may be passed over by others of its workspace, ms. */
const MAX_PASSED_MILLISECONDS = 1_000;
/**
 * Starts of which one goes to a turn that was passed over for too long. If all did, an
 * overload would make every program late.
 */
const STARTS_PER_PASSED_TURN = 4;

/** A turn that waits. */
export interface WaitingTurn {
  readonly demand: TurnDemand;
  /** Number of the turn in order of arrival. */
  readonly sequence: number;
  readonly enteredAt: number;
  /** When the program should be finished, ms; Infinity if not given. */
  readonly finishAt: number;
  /** When the turn can no longer be served in time, ms. */
  readonly giveUpAt: number;
}

/**
 * Turns that may be passed over by each other: the one whose program has the least time
 * left goes first, those past their finish last.
 *
 * @example
 * ```ts
 * const turns = new WaitingTurns();
 * turns.add(turn);
 * turns.findNext(now); // turn
 * ```
 */
export class WaitingTurns {
  /** In order of arrival. */
  readonly #turns = new Map<string, WaitingTurn>();
  /** In order of their finish. */
  readonly #byFinish: WaitingTurn[] = [];
  #startsSincePassedTurn = 0;

  /** Number of turns that wait. */
  get length(): number {
    return this.#turns.size;
  }

  /** Lets a turn wait. */
  add(turn: WaitingTurn): void {
    this.#turns.set(turn.demand.turnId, turn);
    this.#byFinish.splice(this.#findIndex(turn), 0, turn);
  }

  /** Removes a turn; returns false if it is unknown. */
  remove(turnId: string): boolean {
    const turn = this.#turns.get(turnId);
    if (turn === undefined) return false;
    this.#turns.delete(turnId);
    this.#byFinish.splice(this.#findIndex(turn), 1);
    return true;
  }

  /** Returns the turn that should start next. */
  findNext(now: number): WaitingTurn | undefined {
    const [oldest] = this.#turns.values();
    if (oldest === undefined) return undefined;
    const isPassed = now - oldest.enteredAt >= MAX_PASSED_MILLISECONDS &&
      this.#startsSincePassedTurn >= STARTS_PER_PASSED_TURN - 1;
    if (isPassed) return oldest;
    const inTime = this.#byFinish[this.#findFirstAfter(now)];
    return inTime ?? this.#byFinish[0];
  }

  /** Removes a turn that starts. */
  start(turn: WaitingTurn): void {
    const [oldest] = this.#turns.values();
    if (oldest === turn) this.#startsSincePassedTurn = 0;
    else this.#startsSincePassedTurn++;
    this.remove(turn.demand.turnId);
  }

  /** Returns the turns that can no longer be served in time. */
  listExpired(now: number): WaitingTurn[] {
    return [...this.#turns.values()].filter(({ giveUpAt }) => giveUpAt <= now);
  }

  /** Returns the earliest time at which one can no longer be served in time, ms. */
  findNextGiveUpAt(): number {
    let next = Infinity;
    for (const { giveUpAt } of this.#turns.values()) {
      next = Math.min(next, giveUpAt);
    }
    return next;
  }

  /** Returns the index of the first turn that should be finished after a time. */
  #findFirstAfter(time: number): number {
    return this.#search(({ finishAt }) => finishAt > time);
  }

  #findIndex({ finishAt, sequence }: WaitingTurn): number {
    return this.#search((other) =>
      other.finishAt > finishAt ||
      (other.finishAt === finishAt && other.sequence >= sequence)
    );
  }

  /** Returns the index of the first turn for which a monotonic condition holds. */
  #search(isAfter: (turn: WaitingTurn) => boolean): number {
    let low = 0;
    let high = this.#byFinish.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (isAfter(this.#byFinish[middle])) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

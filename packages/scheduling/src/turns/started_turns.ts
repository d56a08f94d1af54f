/** Turns of a service that have started, by their order of importance. */

import type { TurnDemand } from "./turn_demand.ts";
import { UsualCount } from "./usual_count.ts";

/** Interval at which turns whose end was lost are dropped, ms. */
const SWEEP_MILLISECONDS = 1_000;

interface OpenTurn {
  readonly counts: PriorityCounts;
  readonly isStarted: boolean;
  readonly deadlineAt: number;
}

/** Open turns of one priority. */
interface PriorityCounts {
  /** Turns of programs that had run a turn before. */
  readonly started: UsualCount;
  /** First turns of programs. */
  readonly first: UsualCount;
}

/**
 * Counts the open turns of each priority, now and usually.
 *
 * @example
 * ```ts
 * const turns = new StartedTurns();
 * turns.add(demand, now);
 * turns.findUsualBefore(demand.priority + 1, now); // what more urgent turns hold
 * turns.end(demand.turnId, now);
 * ```
 */
export class StartedTurns {
  readonly #turns = new Map<string, OpenTurn>();
  readonly #counts = new Map<number, PriorityCounts>();
  #sweptAt = -Infinity;

  /** Counts a turn until its end, or until its caller stops to wait. */
  add(demand: TurnDemand, now: number): void {
    const { turnId, priority, isStarted, deadlineAt } = demand;
    this.end(turnId, now);
    const counts = this.#counts.get(priority) ??
      { started: new UsualCount(), first: new UsualCount() };
    this.#counts.set(priority, counts);
    this.#turns.set(turnId, { counts, isStarted, deadlineAt });
    selectCount(counts, isStarted).add(1, now);
    this.#sweep(now);
  }

  /** Ends a turn; ignores unknown ones. */
  end(turnId: string, now: number): void {
    const turn = this.#turns.get(turnId);
    if (turn === undefined) return;
    this.#turns.delete(turnId);
    selectCount(turn.counts, turn.isStarted).add(-1, now);
  }

  /** Returns how many turns more urgent than a priority are usually open. */
  findUsualBefore(priority: number, now: number): number {
    let usual = 0;
    for (const [other, { started, first }] of this.#counts) {
      if (other >= priority) continue;
      usual += started.findMean(now) + first.findMean(now);
    }
    return usual;
  }

  /** Returns how many turns of started programs of a priority are usually open. */
  findUsualStarted(priority: number, now: number): number {
    return this.#counts.get(priority)?.started.findMean(now) ?? 0;
  }

  /** Returns how many first turns of a priority are usually open. */
  findUsualFirst(priority: number, now: number): number {
    return this.#counts.get(priority)?.first.findMean(now) ?? 0;
  }

  #sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_MILLISECONDS) return;
    this.#sweptAt = now;
    for (const [turnId, { deadlineAt }] of this.#turns) {
      if (deadlineAt <= now) this.end(turnId, now);
    }
  }
}

function selectCount(counts: PriorityCounts, isStarted: boolean): UsualCount {
  return isStarted ? counts.started : counts.first;
}

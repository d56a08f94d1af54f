/** Queue orders, which decide the next waiting call that a sidecar runs. */

/** A call that waits for a slot. */
export interface QueuedCall {
  /** Calls with a higher priority run first. */
  readonly priority: number;
  /** Tokens used so far by the program and its descendants, on all upstreams. */
  readonly attainedTokens: number;
  /** Time when the call arrived, in milliseconds. */
  readonly arrivedAt: number;
}

/** Chooses the next call to run. */
export interface QueueOrder {
  readonly name: string;
  /** Returns the index of the next call in a non-empty queue. */
  choose(waiting: readonly QueuedCall[], now: number): number;
}

/** Baseline: first come, first served. */
export class FirstComeFirstServed implements QueueOrder {
  readonly name = "first_come";

  choose(waiting: readonly QueuedCall[]): number {
    let first = 0;
    for (const [position, call] of waiting.entries()) {
      const known = waiting[first];
      if (known !== undefined && call.arrivedAt < known.arrivedAt) {
        first = position;
      }
    }
    return first;
  }
}

/** Waiting time that raises a call by one level of priority. */
const AGING_MILLISECONDS_PER_LEVEL = 5_000;

/**
 * Attained tokens that lower a call by one level, up to the maximum number of
 * levels.
 */
const ATTAINED_TOKENS_PER_LEVEL = 1_024;
const MAX_ATTAINED_LEVELS = 4;

/**
 * Least attained service: runs the call with the highest level next. The level
 * is the priority, lowered by the tokens that the program has already used and
 * raised without limit by waiting, so no call starves.
 */
export class LeastAttainedService implements QueueOrder {
  readonly name = "least_attained";

  choose(waiting: readonly QueuedCall[], now: number): number {
    let best = 0;
    let highestLevel = -Infinity;
    for (const [position, call] of waiting.entries()) {
      const level = this.computeLevel(call, now);
      if (level <= highestLevel) continue;
      highestLevel = level;
      best = position;
    }
    return best;
  }

  /** Returns the level of a call. The call with the highest level runs next. */
  computeLevel(call: QueuedCall, now: number): number {
    const agingLevels = Math.max(0, now - call.arrivedAt) /
      AGING_MILLISECONDS_PER_LEVEL;
    const attainedLevels = Math.min(
      MAX_ATTAINED_LEVELS,
      call.attainedTokens / ATTAINED_TOKENS_PER_LEVEL,
    );
    return call.priority + agingLevels - attainedLevels;
  }
}

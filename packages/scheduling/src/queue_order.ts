/** In which order a sidecar runs what waits. */

/** A call that waits for a slot. */
export interface WaitingCall {
  /** Higher runs first. */
  readonly priority: number;
  /** Tokens generated for the program so far, on any upstream. */
  readonly attainedTokens: number;
  /** When the call arrived, in milliseconds. */
  readonly arrivedAt: number;
}

/** Chooses the next call. */
export interface QueueOrder {
  readonly name: string;
  /** Returns the position of the next call; the queue is not empty. */
  choose(waiting: readonly WaitingCall[], now: number): number;
}

/** Baseline: first come, first served. */
export class FirstCome implements QueueOrder {
  readonly name = "first_come";

  choose(waiting: readonly WaitingCall[]): number {
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

/** Waiting that raises a call by one level of priority. */
const AGING_MILLISECONDS = 5_000;

/** Attained tokens that lower a call by one level, at most this many levels. */
const ATTAINED_PER_LEVEL = 1_024;
const ATTAINED_LEVELS = 4;

/**
 * Higher priority first; within a priority the program that has had the
 * least service. Waiting raises a call without limit, so none starves.
 */
export class LeastAttained implements QueueOrder {
  readonly name = "least_attained";

  choose(waiting: readonly WaitingCall[], now: number): number {
    let best = 0;
    let highest = -Infinity;
    for (const [position, call] of waiting.entries()) {
      const level = this.findLevel(call, now);
      if (level <= highest) continue;
      highest = level;
      best = position;
    }
    return best;
  }

  /** Level of a call; the highest runs next. */
  findLevel(call: WaitingCall, now: number): number {
    const aged = Math.max(0, now - call.arrivedAt) / AGING_MILLISECONDS;
    const attained = Math.min(
      ATTAINED_LEVELS,
      call.attainedTokens / ATTAINED_PER_LEVEL,
    );
    return call.priority + aged - attained;
  }
}

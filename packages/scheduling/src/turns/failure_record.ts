/** Tracks which part of its turns an upstream has failed recently. */

/** Weight of the newest turn in the moving average. */
const NEWEST_WEIGHT = 0.25;
/** Half-life of the failed part while no turn ends, ms. */
const HALF_LIFE_MILLISECONDS = 2_000;
/**
 * Time after a fault or a trial until the next trial, ms: long enough that
 * trials of a broken upstream cost callers little.
 */
const TRIAL_INTERVAL_MILLISECONDS = 2_000;
/**
 * The same for turns of programs that have run turns before, ms: a failure costs
 * these programs more.
 */
const STARTED_TRIAL_INTERVAL_MILLISECONDS = 3_000;

/**
 * Returns how much of a fault at a time still counts, 1 to 0: it falls until the
 * next turn is placed as a trial.
 */
export function findSuspicion(
  faultAt: number,
  turn: { readonly isStarted: boolean; readonly now: number },
): number {
  const interval = turn.isStarted
    ? STARTED_TRIAL_INTERVAL_MILLISECONDS
    : TRIAL_INTERVAL_MILLISECONDS;
  return Math.max(0, Math.min(1, 1 - (turn.now - faultAt) / interval));
}

/** Failures of one upstream and its trials. */
export class FailureRecord {
  #failedPart = 0;
  #updatedAt = 0;
  #failedAt = -Infinity;
  #servedAt = -Infinity;
  #placedAt = -Infinity;

  /** When a turn was last placed. */
  get placedAt(): number {
    return this.#placedAt;
  }

  /** When a turn was last served. */
  get servedAt(): number {
    return this.#servedAt;
  }

  /** Records that a turn was placed. */
  recordPlaced(now: number): void {
    this.#placedAt = now;
  }

  /** Records a turn that the upstream served. */
  recordServed(now: number): void {
    this.#update(0, now);
    this.#servedAt = now;
  }

  /** Records a turn that the upstream failed or refused. */
  recordFailure(now: number): void {
    this.#update(1, now);
    this.#failedAt = now;
  }

  /**
   * Returns the part of turns that is expected to fail, 0 to 1. It falls to 0
   * until a trial, returns if a trial is pending, and stays low once a trial has
   * been served.
   */
  findExpectedPart(isStarted: boolean, now: number): number {
    if (this.#failedPart === 0) return 0;
    const isTrialPending = this.#servedAt <= this.#failedAt;
    const faultAt = isTrialPending
      ? Math.max(this.#failedAt, this.#placedAt)
      : this.#failedAt;
    return this.#findPart(now) * findSuspicion(faultAt, { isStarted, now });
  }

  #findPart(now: number): number {
    const age = Math.max(0, now - this.#updatedAt);
    return this.#failedPart * 0.5 ** (age / HALF_LIFE_MILLISECONDS);
  }

  #update(outcome: number, now: number): void {
    const part = this.#findPart(now);
    this.#failedPart = part + NEWEST_WEIGHT * (outcome - part);
    this.#updatedAt = now;
  }
}

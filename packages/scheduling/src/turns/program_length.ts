/** Learns how many turns programs have. */

/** Time constant of the exponential decay of turns, ms: many programs. */
const DECAY_MILLISECONDS = 30_000;
/** Most turns that a program is expected to have. */
const MAX_TURNS = 64;

/**
 * Counts turns and first turns, which give the mean number of turns of a program
 * without a record of each program.
 *
 * @example
 * ```ts
 * const length = new ProgramLength();
 * for (const isStarted of [false, true, true]) length.record(isStarted, now);
 * length.turns; // 3
 * ```
 */
export class ProgramLength {
  #turns = 0;
  #firstTurns = 0;
  #at = 0;

  /** Mean number of turns of a program. */
  get turns(): number {
    if (this.#turns === 0) return 1;
    return Math.min(MAX_TURNS, this.#turns / this.#firstTurns);
  }

  /** Counts a turn that starts. */
  record(isStarted: boolean, now: number): void {
    const part = Math.exp((this.#at - now) / DECAY_MILLISECONDS);
    this.#turns = part * this.#turns + 1;
    this.#firstTurns = part * this.#firstTurns + (isStarted ? 0 : 1);
    this.#at = now;
  }
}

/** Running means of how many turns the programs of each priority run, and for how long. */

/** Smallest weight of the newest program in a mean: about the last 20 count. */
const MIN_WEIGHT = 0.05;

/** Mean size of programs. */
export interface ProgramSize {
  readonly turns: number;
  /** Time from the first turn to the last, ms. */
  readonly milliseconds: number;
}

/**
 * Learns program sizes by priority.
 *
 * @example
 * ```ts
 * const sizes = new ProgramSizes();
 * sizes.record(0, { turns: 4, milliseconds: 1_300 });
 * sizes.find(0)?.turns; // 4
 * ```
 */
export class ProgramSizes {
  readonly #means = new Map<number, ProgramSize & { readonly count: number }>();

  /** Adds a program that has ended. */
  record(priority: number, size: ProgramSize): void {
    const known = this.#means.get(priority) ??
      { turns: 0, milliseconds: 0, count: 0 };
    const count = known.count + 1;
    const weight = Math.max(MIN_WEIGHT, 1 / count);
    this.#means.set(priority, {
      count,
      turns: known.turns + weight * (size.turns - known.turns),
      milliseconds: known.milliseconds +
        weight * (size.milliseconds - known.milliseconds),
    });
  }

  /** Returns the mean size; undefined before the first program has ended. */
  find(priority: number): ProgramSize | undefined {
    return this.#means.get(priority);
  }
}

/**
 * Which programs an engine should serve first among those of one route. Nothing
 * here needs a network.
 *
 * The load it answers: a burst in which requests queue at the engines. In the
 * order of their arrival all programs become late together. Served by the time
 * that they have left, those that are nearly done still end in time, and those
 * that are late already take nothing from them.
 *
 * What it buys: at a simulated site of 7 gateways and 8 engines of 16 slots, in
 * a rush of 8 s at twice the usual load, 97% instead of 92% of the programs'
 * worth came in time while engines read many prompts anew. Since prompts are
 * placed where they were read, two such runs show no difference: 100% with and
 * without, and 92% with and 93% without.
 */

/** How soon a request is served among those of its route; less is sooner. */
export const RANKS = {
  /** Less time is left than to half of the programs: it must not wait. */
  SOON: 0,
  USUAL: 1,
  /** The program is late whatever happens. */
  LATE: 2,
} as const;

/** One of {@linkcode RANKS}. */
export type Rank = typeof RANKS[keyof typeof RANKS];

/** Ranks of a route; a dialect may need them to put routes and ranks in one row. */
export const RANK_COUNT = 3;

/** Part of the estimate by which one program moves it: about fifty programs count. */
const STEP = 0.02;

/** Learns for each route how much time programs usually have left. */
export class ProgramUrgency {
  /** Running median of the time left, ms, by route. */
  readonly #medians = new Map<string, number>();

  /**
   * Ranks a request by the time that its program has left, ms; Infinity if it
   * does not say.
   *
   * @example
   * ```ts
   * const urgency = new ProgramUrgency();
   * urgency.rank("route", 4_000); // RANKS.USUAL
   * urgency.rank("route", 500); // RANKS.SOON
   * urgency.rank("route", 0); // RANKS.LATE
   * ```
   */
  rank(routeName: string, leftMilliseconds: number): Rank {
    if (!Number.isFinite(leftMilliseconds)) return RANKS.USUAL;
    if (leftMilliseconds <= 0) return RANKS.LATE;
    const median = this.#medians.get(routeName) ?? leftMilliseconds;
    const moved = leftMilliseconds > median
      ? median * (1 + STEP)
      : median * (1 - STEP);
    this.#medians.set(routeName, moved);
    return leftMilliseconds < median ? RANKS.SOON : RANKS.USUAL;
  }
}

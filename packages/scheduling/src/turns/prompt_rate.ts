/** Learns how long the engines of a service take to process prompt tokens. */

/** Time per prompt token that is assumed before any has been measured, ms. */
const INITIAL_TOKEN_MILLISECONDS = 0.01;
/** Weight that earlier turns keep at each further turn. */
const KEPT_WEIGHT = 0.99;
/** Turns at the initial time that are assumed in addition to the observed ones. */
const PRIOR_TURNS = 2;
/** Standard deviation of the prompt tokens of these assumed turns. */
const PRIOR_TOKENS = 200;
/**
 * Largest time of one turn that counts, as a ratio of the time expected for it.
 * It limits the effect of a stall.
 */
const MAX_RATIO = 4;

/**
 * Linear regression of the time to the first event on the number of prompt
 * tokens that had to be processed.
 */
export class PromptRate {
  #weight = 0;
  #meanTokens = 0;
  #meanMilliseconds = 0;
  /** Weighted sums of the products of differences from the means. */
  #tokensByTokens = 0;
  #tokensByMilliseconds = 0;

  /** Time per prompt token, ms. */
  get tokenMilliseconds(): number {
    const prior = PRIOR_TURNS * PRIOR_TOKENS * PRIOR_TOKENS;
    const slope =
      (this.#tokensByMilliseconds + prior * INITIAL_TOKEN_MILLISECONDS) /
      (this.#tokensByTokens + prior);
    return Math.max(0, slope);
  }

  /** Mean time to the first event, ms; 0 if none has been measured. */
  get meanMilliseconds(): number {
    return this.#meanMilliseconds;
  }

  /**
   * Records the time to the first event of a turn that found a free slot, ms,
   * at an upstream with the rate of the service.
   *
   * @example
   * promptRate.observe(2_400, 31);
   */
  observe(tokens: number, milliseconds: number): void {
    const counted = this.#weight === 0
      ? milliseconds
      : Math.min(milliseconds, MAX_RATIO * this.#findExpected(tokens));
    this.#weight = this.#weight * KEPT_WEIGHT + 1;
    const tokensDifference = tokens - this.#meanTokens;
    const millisecondsDifference = counted - this.#meanMilliseconds;
    this.#meanTokens += tokensDifference / this.#weight;
    this.#meanMilliseconds += millisecondsDifference / this.#weight;
    const remaining = tokens - this.#meanTokens;
    this.#tokensByTokens = this.#tokensByTokens * KEPT_WEIGHT +
      tokensDifference * remaining;
    this.#tokensByMilliseconds = this.#tokensByMilliseconds * KEPT_WEIGHT +
      millisecondsDifference * remaining;
  }

  #findExpected(tokens: number): number {
    return Math.max(
      this.#meanMilliseconds,
      this.#meanMilliseconds +
        (tokens - this.#meanTokens) * this.tokenMilliseconds,
    );
  }
}

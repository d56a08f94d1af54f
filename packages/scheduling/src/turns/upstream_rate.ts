/** Tracks how much slower or faster one upstream is than its service. */

/** Time constant with which earlier turns lose weight, ms. */
const TIME_CONSTANT_MILLISECONDS = 1_500;
/**
 * Number of turns at the rate of the service that are assumed in addition to
 * the observed ones.
 */
const PRIOR_TURNS = 2;
/**
 * Largest difference of one turn from the present estimate that counts, as a
 * logarithm. It limits the effect of a short stall; a lasting change is still
 * followed.
 */
const MAX_LOG_DIFFERENCE = 0.6;
/**
 * Number of standard errors at which half of the difference from the service
 * counts. Smaller differences are mostly noise and would spread work unevenly.
 */
const NOISE_STANDARD_ERRORS = 4;
/** Standard error that is assumed at least, as a logarithm. */
const MIN_STANDARD_ERROR = 0.02;
/** Streamed tokens from which a turn counts fully. */
const FULL_WEIGHT_TOKENS = 16;
/** Time for which a computed ratio is used again, ms. */
const CACHE_MILLISECONDS = 25;

/** Times per token of the turns of a service. */
export interface ServiceRate {
  /** Logarithm of the median over the upstreams of their means, ms. */
  readonly logMilliseconds: number;
  /** Variance of the logarithms of turns at one upstream. */
  readonly logVariance: number;
}

/** Logarithmic mean of the time per token of one upstream. */
export class UpstreamRate {
  /** Weighted sum of the logarithms of the times per token, ms. */
  #sum = 0;
  #weight = 0;
  #updatedAt = 0;
  #ratio = 1;
  #computedAt = -Infinity;

  /** Number of turns that count, with those that are old counting less. */
  findWeight(now: number): number {
    return this.#weight * findDecay(now - this.#updatedAt);
  }

  /** Logarithm of the mean time per token, ms; NaN if no turn was observed. */
  get logMilliseconds(): number {
    return this.#sum / this.#weight;
  }

  /**
   * Records the time per token of a turn. Returns its difference from the
   * estimate before, as a logarithm.
   *
   * @example
   * rate.observe({ milliseconds: 260, tokens: 100, service }, now);
   */
  observe(
    turn: {
      /** Time of the stream, ms. */
      readonly milliseconds: number;
      /** Tokens that were streamed in this time. */
      readonly tokens: number;
      readonly service: ServiceRate;
    },
    now: number,
  ): number {
    const decay = findDecay(now - this.#updatedAt);
    this.#sum *= decay;
    this.#weight *= decay;
    this.#updatedAt = now;
    const estimate = this.#findLog(turn.service, this.#weight);
    const difference = Math.log(turn.milliseconds / turn.tokens) - estimate;
    const counted = Math.max(
      -MAX_LOG_DIFFERENCE,
      Math.min(MAX_LOG_DIFFERENCE, difference),
    );
    const weight = Math.min(1, turn.tokens / FULL_WEIGHT_TOKENS);
    this.#sum += weight * (estimate + counted);
    this.#weight += weight;
    this.#computedAt = -Infinity;
    return counted;
  }

  /**
   * Returns the time that the upstream takes for a turn as a ratio of the time
   * that its service takes: 1.7 if it is 1.7 times slower. It converges to 1
   * while no turn is observed.
   */
  findRatio(service: ServiceRate, now: number): number {
    if (now - this.#computedAt < CACHE_MILLISECONDS) return this.#ratio;
    const weight = this.findWeight(now);
    const difference = this.#findLog(service, weight) -
      service.logMilliseconds;
    const square = difference * difference;
    const errorSquare = MIN_STANDARD_ERROR * MIN_STANDARD_ERROR +
      service.logVariance / (weight + PRIOR_TURNS);
    const noise = NOISE_STANDARD_ERRORS * NOISE_STANDARD_ERRORS * errorSquare;
    this.#ratio = Math.exp(difference * square / (square + noise));
    this.#computedAt = now;
    return this.#ratio;
  }

  #findLog(service: ServiceRate, weight: number): number {
    if (weight === 0) return service.logMilliseconds;
    return (this.logMilliseconds * weight +
      service.logMilliseconds * PRIOR_TURNS) / (weight + PRIOR_TURNS);
  }
}

function findDecay(milliseconds: number): number {
  return Math.exp(-Math.max(0, milliseconds) / TIME_CONSTANT_MILLISECONDS);
}

/** Decides which requests a stopping gateway still has the time to answer. */

/**
 * Time before the end of a stop at which open calls get their final answers, ms,
 * so that these reach the callers.
 */
const FINAL_ANSWER_MILLISECONDS = 300;
/** Largest part of a short stop that is reserved for the final answers. */
const MAX_FINAL_ANSWER_FRACTION = 0.5;
/**
 * Multiple of the usual time of a service that a call which may be repeated must
 * have left.
 */
const USUAL_TIME_FACTOR = 3;

/** What decides whether a request can be answered before a stop ends. */
export interface TimedRequest {
  /** True if the caller may repeat the request although it may have run. */
  readonly isRepeatable: boolean;
  /** When the request times out, ms. */
  readonly deadlineAt: number;
  /** Time that its service usually takes, ms; 0 if it is not known. */
  readonly usualMilliseconds: number;
}

/**
 * The times of one stop, all by the same clock, ms.
 *
 * @example
 * ```ts
 * const schedule = new StopSchedule(0, 8_000);
 * schedule.canFinish({ isRepeatable: false, deadlineAt: 7_000, usualMilliseconds: 0 }, 10); // true
 * ```
 */
export class StopSchedule {
  /** When the stop began. */
  readonly beganAt: number;
  /** When the calls that are still unanswered get their final answers. */
  readonly answersAt: number;
  /** When the last connection is closed. */
  readonly endAt: number;

  constructor(beganAt: number, endAt: number) {
    this.beganAt = beganAt;
    this.endAt = Math.max(beganAt, endAt);
    this.answersAt = this.endAt - Math.min(
      FINAL_ANSWER_MILLISECONDS,
      MAX_FINAL_ANSWER_FRACTION * (this.endAt - beganAt),
    );
  }

  /**
   * True if a request that has not been sent yet may be. One that may not be
   * repeated must end before the final answers in any case, since its outcome
   * would remain unknown.
   */
  canFinish(request: TimedRequest, now: number): boolean {
    const { isRepeatable, deadlineAt, usualMilliseconds } = request;
    if (now >= this.answersAt) return false;
    if (deadlineAt <= this.answersAt) return true;
    return isRepeatable &&
      now + USUAL_TIME_FACTOR * usualMilliseconds <= this.answersAt;
  }
}

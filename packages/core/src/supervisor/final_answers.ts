/** The time within a planned stop at which everything still open is answered. */

/** Time before the end of a stop that is reserved for final answers, ms. */
const FINAL_ANSWERS_MILLISECONDS = 1_000;

/**
 * Returns when a role that stops must begin to answer what is still open. At
 * most half of the remaining time is reserved.
 *
 * @param now monotonic, ms
 * @param endAt end of the stop, monotonic, ms
 *
 * @example
 * ```ts
 * findFinalAnswersStart(0, 8_000); // 7_000
 * findFinalAnswersStart(0, 100); // 50
 * ```
 */
export function findFinalAnswersStart(now: number, endAt: number): number {
  const remaining = Math.max(0, endAt - now);
  return now + remaining - Math.min(FINAL_ANSWERS_MILLISECONDS, remaining / 2);
}

/**
 * Batches the entries for members without a vote, so that a busy leader spends
 * few messages on copies that no commit needs. At 1,000 entries a second a spare
 * is sent some 31 messages a second instead of one for each round trip.
 */

/**
 * Number of pending entries at which a spare is sent them at once: half of the
 * lag up to which a member counts as caught up.
 */
export const SPARE_BATCH_ENTRIES = 32;
/** Longest delay of entries for a spare, ms: far below an election timeout. */
export const SPARE_BATCH_DELAY_MILLISECONDS = 100;

/**
 * Returns the time until a spare should be sent its pending entries, ms: 0 if
 * they are due now, Infinity if there are none.
 *
 * @example
 * ```ts
 * findSpareBatchDelay({ behind: 3, sentAt: 1_000, now: 1_040 }); // 60
 * findSpareBatchDelay({ behind: 32, sentAt: 1_000, now: 1_040 }); // 0
 * findSpareBatchDelay({ behind: 0, sentAt: 1_000, now: 1_040 }); // Infinity
 * ```
 */
export function findSpareBatchDelay(state: {
  /** Number of entries that the spare lacks. */
  readonly behind: number;
  /** When the latest request to the spare was sent. */
  readonly sentAt: number;
  readonly now: number;
}): number {
  const { behind, sentAt, now } = state;
  if (behind <= 0) return Infinity;
  if (behind >= SPARE_BATCH_ENTRIES) return 0;
  return Math.max(0, sentAt + SPARE_BATCH_DELAY_MILLISECONDS - now);
}

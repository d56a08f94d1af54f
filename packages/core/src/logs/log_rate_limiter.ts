/** Limits the rate of repeated log lines. */

/** Maximum number of tracked subjects; the oldest is evicted first. */
const MAX_SUBJECTS = 1_000;

interface SubjectState {
  lastWrittenAt: number;
  suppressed: number;
}

/**
 * Allows one log line per subject and interval, and counts the suppressed ones.
 * Without it, one program that called in a loop caused 1,897 lines in 45 s in
 * the log of a store; with an interval of 10 s it causes five.
 *
 * @example
 * ```ts
 * const limit = new LogRateLimiter(10_000);
 * limit.take("program-1", 0); // 0: write the line
 * limit.take("program-1", 20); // undefined: suppress the line
 * limit.take("program-1", 10_000); // 1: write the line; one was suppressed
 * ```
 */
export class LogRateLimiter {
  readonly #intervalMilliseconds: number;
  readonly #subjects = new Map<string, SubjectState>();

  /** @param intervalMilliseconds minimum time between two lines of a subject */
  constructor(intervalMilliseconds: number) {
    this.#intervalMilliseconds = intervalMilliseconds;
  }

  /**
   * Decides whether a line about the subject may be written now.
   *
   * @returns the number of lines suppressed since the last written one, or
   * undefined if this line is to be suppressed too
   */
  take(subject: string, now: number): number | undefined {
    const known = this.#subjects.get(subject);
    if (
      known !== undefined &&
      now - known.lastWrittenAt < this.#intervalMilliseconds
    ) {
      known.suppressed++;
      return undefined;
    }
    this.#subjects.delete(subject);
    this.#subjects.set(subject, { lastWrittenAt: now, suppressed: 0 });
    this.#evictOldest();
    return known?.suppressed ?? 0;
  }

  #evictOldest(): void {
    if (this.#subjects.size <= MAX_SUBJECTS) return;
    const [oldest] = this.#subjects.keys();
    if (oldest !== undefined) this.#subjects.delete(oldest);
  }
}

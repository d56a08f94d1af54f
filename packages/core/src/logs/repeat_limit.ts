/** Keeps log lines that say the same again within a bound. */

/** Subjects that are remembered; the oldest is forgotten first. */
const MAX_SUBJECTS = 1_000;

interface Subject {
  writtenAt: number;
  heldBack: number;
}

/**
 * Lets one line a subject through in each span of time, and counts the others.
 * One looping program asked for 1,897 lines in 45 s, counted in the log of a
 * store; with a span of 10 s it asks for five.
 *
 * @example
 * ```ts
 * const limit = new RepeatLimit(10_000);
 * limit.take("program-1", 0); // 0: write the line
 * limit.take("program-1", 20); // undefined: hold it back
 * limit.take("program-1", 10_000); // 1: write it, and that one was held back
 * ```
 */
export class RepeatLimit {
  readonly #spanMilliseconds: number;
  readonly #subjects = new Map<string, Subject>();

  /** @param spanMilliseconds least time between two lines of one subject */
  constructor(spanMilliseconds: number) {
    this.#spanMilliseconds = spanMilliseconds;
  }

  /**
   * Asks for a line.
   *
   * @returns how many were held back since the last one, or undefined if this
   * one is held back too
   */
  take(subject: string, now: number): number | undefined {
    const known = this.#subjects.get(subject);
    if (known !== undefined && now - known.writtenAt < this.#spanMilliseconds) {
      known.heldBack++;
      return undefined;
    }
    this.#subjects.delete(subject);
    this.#subjects.set(subject, { writtenAt: now, heldBack: 0 });
    this.#forgetOldest();
    return known?.heldBack ?? 0;
  }

  #forgetOldest(): void {
    if (this.#subjects.size <= MAX_SUBJECTS) return;
    const [oldest] = this.#subjects.keys();
    if (oldest !== undefined) this.#subjects.delete(oldest);
  }
}

/**
 * Bounds what a gateway keeps for callers that read slowly. Beyond a mark, the
 * upstream of an answer is no longer read until its caller catches up. If the
 * sum of all answers still passes its bound, the slowest ones are ended.
 */

/** Why a call was ended because of its unread bytes. */
export const SLOW_CALLER_REASONS = {
  /** The call alone has more unread bytes than one call may have. */
  CALL_BYTES: "call_bytes",
  /** All calls together have too many, and this one is the slowest. */
  TOTAL_BYTES: "total_bytes",
  /** The caller has read nothing for too long. */
  NO_PROGRESS: "no_progress",
} as const;

/** One of {@linkcode SLOW_CALLER_REASONS}. */
export type SlowCallerReason =
  typeof SLOW_CALLER_REASONS[keyof typeof SLOW_CALLER_REASONS];

/** Limits on unread bytes. */
export interface UnreadLimits {
  /** Unread bytes of a call above which its upstream is not read. */
  readonly holdBytes: number;
  /** Largest number of unread bytes of one call. */
  readonly callBytes: number;
  /** Largest number of unread bytes of all calls. */
  readonly totalBytes: number;
  /** Time without progress after which a call with unread bytes is ended, ms. */
  readonly stallMilliseconds: number;
}

/** An answer on its way to a caller. */
export interface UnreadAnswer {
  /** Memory of what was sent to the caller and is still in this process. */
  readonly unreadBytes: number;
  /** Bytes of the answer that the upstream's connection holds while paused. */
  readonly pausedBytes: number;
  /** Bytes that have left this process for the caller; never decreases. */
  readonly readBytes: number;
  /** Stops reading the upstream. */
  hold(): void;
  /** Reads the upstream again after {@linkcode hold}. */
  resume(): void;
  /** Destroys the caller's connection, so that the answer looks incomplete. */
  endSlow(): void;
}

/** What is known about a call when it is ended. */
export interface SlowCallerEnd {
  readonly reason: SlowCallerReason;
  /** Unread bytes of the call. */
  readonly bytes: number;
  /** Unread bytes of all calls, this one included. */
  readonly totalBytes: number;
  /** Time since the caller last read anything, ms. */
  readonly stalledMilliseconds: number;
}

interface Entry {
  bytes: number;
  readBytes: number;
  progressAt: number;
  isHeld: boolean;
}

/**
 * Counts the unread bytes of all calls and ends those that hold too many.
 *
 * @example
 * ```ts
 * const unread = new UnreadAnswers(limits, (call, end) => log(call, end));
 * unread.update(call, performance.now()); // after each write and each drain
 * unread.sweep(performance.now()); // a few times a second
 * unread.remove(call); // when the caller's connection has closed
 * ```
 */
export class UnreadAnswers<Answer extends UnreadAnswer = UnreadAnswer> {
  readonly #limits: UnreadLimits;
  readonly #onEnd: (answer: Answer, end: SlowCallerEnd) => void;
  /** The answers that had unread bytes when they were last measured. */
  readonly #entries = new Map<Answer, Entry>();
  #totalBytes = 0;

  /** `onEnd` is called before a call is ended. */
  constructor(
    limits: UnreadLimits,
    onEnd: (answer: Answer, end: SlowCallerEnd) => void,
  ) {
    this.#limits = limits;
    this.#onEnd = onEnd;
  }

  /** Unread bytes of all calls when each was last measured. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Measures an answer; holds or resumes its upstream, or ends slow calls. */
  update(answer: Answer, now: number): void {
    const entry = this.#measure(answer, now);
    if (entry === undefined) return;
    if (entry.bytes > this.#limits.callBytes) {
      return this.#end(answer, SLOW_CALLER_REASONS.CALL_BYTES, now);
    }
    if (this.#totalBytes > this.#limits.totalBytes) this.#reduceTotal(now);
  }

  /** Measures all answers, and ends the calls whose callers read nothing. */
  sweep(now: number): void {
    this.#measureAll(now);
    for (const [answer, { progressAt }] of [...this.#entries]) {
      if (now - progressAt < this.#limits.stallMilliseconds) continue;
      this.#end(answer, SLOW_CALLER_REASONS.NO_PROGRESS, now);
    }
  }

  /** Forgets an answer whose caller's connection has closed. */
  remove(answer: Answer): void {
    const entry = this.#entries.get(answer);
    if (entry === undefined) return;
    this.#totalBytes -= entry.bytes;
    this.#entries.delete(answer);
  }

  #measureAll(now: number): void {
    for (const answer of [...this.#entries.keys()]) this.#measure(answer, now);
  }

  #measure(answer: Answer, now: number): Entry | undefined {
    const { unreadBytes } = answer;
    const entry = this.#entries.get(answer);
    if (unreadBytes === 0) {
      this.remove(answer);
      if (entry?.isHeld === true) answer.resume();
      return undefined;
    }
    if (entry === undefined) return this.#add(answer, now);
    const { readBytes } = answer;
    if (readBytes > entry.readBytes) {
      entry.readBytes = readBytes;
      entry.progressAt = now;
    }
    this.#applyFlow(answer, entry, unreadBytes);
    this.#setBytes(entry, unreadBytes + answer.pausedBytes);
    return entry;
  }

  #add(answer: Answer, now: number): Entry {
    const { readBytes, unreadBytes } = answer;
    const entry = { bytes: 0, readBytes, progressAt: now, isHeld: false };
    this.#entries.set(answer, entry);
    this.#applyFlow(answer, entry, unreadBytes);
    this.#setBytes(entry, unreadBytes);
    return entry;
  }

  /** Resumes only at half of the mark, so that it does not alternate. */
  #applyFlow(answer: Answer, entry: Entry, unreadBytes: number): void {
    const { holdBytes } = this.#limits;
    if (!entry.isHeld && unreadBytes > holdBytes) {
      entry.isHeld = true;
      answer.hold();
    } else if (entry.isHeld && unreadBytes <= holdBytes / 2) {
      entry.isHeld = false;
      answer.resume();
    }
  }

  #setBytes(entry: Entry, bytes: number): void {
    this.#totalBytes += bytes - entry.bytes;
    entry.bytes = bytes;
  }

  /** Ends the slowest calls until the rest are within the total bound. */
  #reduceTotal(now: number): void {
    // Callers may have read since their answers were last measured.
    this.#measureAll(now);
    while (this.#totalBytes > this.#limits.totalBytes) {
      const slowest = this.#findSlowest(now);
      if (slowest === undefined) return;
      this.#end(slowest, SLOW_CALLER_REASONS.TOTAL_BYTES, now);
    }
  }

  /**
   * Finds the call with the largest product of unread bytes and time without
   * progress: a large answer that has just begun is not the slowest, nor is a
   * caller that has left a few bytes unread for long.
   */
  #findSlowest(now: number): Answer | undefined {
    let slowest: Answer | undefined;
    let worst = -1;
    for (const [answer, { bytes, progressAt }] of this.#entries) {
      const score = bytes * (now - progressAt + 1);
      if (score <= worst) continue;
      worst = score;
      slowest = answer;
    }
    return slowest;
  }

  #end(answer: Answer, reason: SlowCallerReason, now: number): void {
    const entry = this.#entries.get(answer);
    if (entry === undefined) return;
    const { bytes, progressAt } = entry;
    const totalBytes = this.#totalBytes;
    const stalledMilliseconds = now - progressAt;
    this.remove(answer);
    this.#onEnd(answer, { reason, bytes, totalBytes, stalledMilliseconds });
    answer.endSlow();
  }
}

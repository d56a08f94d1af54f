/**
 * Admission control of a leader: rejects at once the commands that a quorum
 * could not commit before their callers time out.
 *
 * Without it, a load above the capacity of the quorum makes each commit take
 * longer than its caller waits. The leader then only works for callers that
 * have given up, even after the load is gone. On a site of three stores with
 * connections of 400 kB a second, and 3 s of six times the load that these can
 * carry, at most one command in ten commits too late; without admission control
 * up to nine in ten did.
 */

/** Classes of commands in admission control. */
export const URGENCIES = {
  /** Completes work, or is an operator's command: never rejected for load. */
  FINISH: "finish",
  /** Continues work that has begun. */
  CONTINUE: "continue",
  /** Starts new work, which is the cheapest to reject. */
  START: "start",
} as const;

/** One of {@linkcode URGENCIES}. */
export type Urgency = typeof URGENCIES[keyof typeof URGENCIES];

/**
 * Longest expected wait at which a command is admitted, ms. Callers of the same
 * command share its result and wait 2 s or more for it. Commands that continue
 * work may take most of that time, and commands that start work half as long, so
 * that new work is rejected first. A rejection costs a caller more than a wait:
 * with limits of 380 and 240 ms, a simulated site of 27 gateways rejected 4,408
 * attempts in a day, against 52 without a limit.
 */
const MAX_WAIT_MILLISECONDS: Readonly<Record<Urgency, number>> = {
  finish: Infinity,
  continue: 1_600,
  start: 800,
};

/**
 * Cost of an entry beyond its payload, in bytes: its share of messages, replies
 * and disk syncs costs about as much as another kilobyte of payload.
 */
const ENTRY_OVERHEAD_BYTES = 1_000;
/** Queued cost below which every command is admitted, bytes: half a message of entries. */
const ALWAYS_ADMITTED_BYTES = 65_536;
/** Cost above which an entry counts as large: half of the cost that is always admitted. */
export const LARGE_ENTRY_COST = ALWAYS_ADMITTED_BYTES / 2;
/** Window over which the commit rate is measured, ms: several round trips. */
const RATE_WINDOW_MILLISECONDS = 500;
/**
 * Longest part of a pause between two commits that counts in the rate window,
 * ms. A slow quorum commits at shorter intervals; a quorum that paused for longer
 * usually continues at its former rate. Counted in full, a pause of 400 ms at
 * 1,000 commands a second lowered the rate to a fifth, and nearly all commands
 * were rejected; with this limit none of 100 pauses of 200 to 450 ms causes a
 * rejection.
 */
const MAX_COUNTED_PAUSE_MILLISECONDS = 200;
/**
 * Pause after which the quorum may be lost, ms: nearly two election timeouts.
 * Time beyond it counts in the rate window again.
 */
const STALL_MILLISECONDS = 500;
/** Lower bound of the estimated commit rate, bytes a second, for a quorum that stalls. */
const MIN_COMMIT_RATE = 100_000;
/** Bounds of the retry delay for a rejected caller, ms. */
const RETRY_AFTER_MILLISECONDS = { min: 200, max: 2_000 };

/** Uncommitted entries at the time of a decision. */
export interface PendingEntries {
  /** Sum of the costs of the uncommitted entries, see {@linkcode findCost}. */
  readonly cost: number;
  /** Cost of the largest of them if it is above {@linkcode LARGE_ENTRY_COST}, else 0. */
  readonly largestCost: number;
  /** When the oldest of them was proposed; Infinity if there is none. */
  readonly oldestAt: number;
}

/**
 * Returns the cost to replicate an entry, in bytes.
 *
 * @example
 * ```ts
 * findCost(200); // 1200
 * ```
 */
export function findCost(payloadBytes: number): number {
  return payloadBytes + ENTRY_OVERHEAD_BYTES;
}

/**
 * Admits commands as long as they can be committed in time.
 *
 * @example
 * ```ts
 * const admission = new AdmissionController();
 * admission.recordCommit(500_000, 0);
 * const waiting = { cost: 10_000, largestCost: 0, oldestAt: 0 };
 * admission.checkAdmission("start", waiting, 5); // undefined: admitted
 * admission.checkAdmission("start", { ...waiting, cost: 900_000 }, 5); // 900: retry then
 * ```
 */
export class AdmissionController {
  /** Commits within the rate window, oldest first. */
  #commits: CommitSample[] = [];
  #committedCost = 0;
  /**
   * Rate time of the latest commit, ms: the clock of the rate window, which
   * counts long pauses only in part.
   */
  #rateTime = 0;
  #lastCommitAt = -Infinity;

  /** Records the cost of entries that were committed. */
  recordCommit(cost: number, now: number): void {
    if (cost <= 0) return;
    this.#rateTime = this.#findRateTime(now);
    this.#lastCommitAt = now;
    this.#commits.push({ cost, rateTime: this.#rateTime });
    this.#committedCost += cost;
    this.#dropExpired(this.#rateTime);
  }

  /**
   * Decides whether a command is admitted.
   *
   * @returns undefined if it is admitted, else the delay after which the caller
   * should retry, ms
   */
  checkAdmission(
    urgency: Urgency,
    waiting: PendingEntries,
    now: number,
  ): number | undefined {
    if (this.findLoadRatio(urgency, waiting, now) <= 1) return undefined;
    return this.findRetryAfter(waiting, now);
  }

  /**
   * Returns the expected wait divided by the longest wait at which a command is
   * admitted; 0 while the queued cost is always admitted.
   */
  findLoadRatio(
    urgency: Urgency,
    waiting: PendingEntries,
    now: number,
  ): number {
    return this.estimateQueueWait(waiting, now) /
      MAX_WAIT_MILLISECONDS[urgency];
  }

  /** Returns the delay after which a rejected caller should retry, ms. */
  findRetryAfter(waiting: PendingEntries, now: number): number {
    const { min, max } = RETRY_AFTER_MILLISECONDS;
    const expected = this.estimateWait(waiting, now);
    return Math.round(Math.min(max, Math.max(min, expected)));
  }

  /**
   * Estimates the time until an entry that is appended now commits, ms; 0 while the
   * queued cost is always admitted.
   */
  estimateQueueWait(waiting: PendingEntries, now: number): number {
    if (findQueuedCost(waiting) < ALWAYS_ADMITTED_BYTES) return 0;
    return this.estimateWait(waiting, now);
  }

  /** Estimates the time until an entry that is appended now commits, ms. */
  estimateWait(waiting: PendingEntries, now: number): number {
    const age = Math.max(0, now - waiting.oldestAt);
    const queueDelay = findQueuedCost(waiting) * 1_000 /
      this.#findCommitRate(now);
    return Math.max(age, queueDelay);
  }

  /** Returns the commit rate over the window, bytes a second. */
  #findCommitRate(now: number): number {
    this.#dropExpired(this.#findRateTime(now));
    return Math.max(
      MIN_COMMIT_RATE,
      this.#committedCost * 1_000 / RATE_WINDOW_MILLISECONDS,
    );
  }

  #dropExpired(rateTime: number): void {
    const since = rateTime - RATE_WINDOW_MILLISECONDS;
    let old = 0;
    for (const commit of this.#commits) {
      if (commit.rateTime > since) break;
      this.#committedCost -= commit.cost;
      old++;
    }
    if (old > 0) this.#commits = this.#commits.slice(old);
  }

  /** Returns the rate time now, ms; see {@linkcode MAX_COUNTED_PAUSE_MILLISECONDS}. */
  #findRateTime(now: number): number {
    if (this.#lastCommitAt === -Infinity) return 0;
    const pause = Math.max(0, now - this.#lastCommitAt);
    return this.#rateTime + Math.min(pause, MAX_COUNTED_PAUSE_MILLISECONDS) +
      Math.max(0, pause - STALL_MILLISECONDS);
  }
}

/**
 * Returns the cost of the entries ahead of a new one, without the largest entry
 * if that is above {@linkcode LARGE_ENTRY_COST}. At the low commit rate of a
 * lightly loaded leader, a single entry of 900 kB (a turn with a long input)
 * looked like 9 s of work, and every new program was rejected while it was in
 * flight. Its delay shows in the age of the oldest entry.
 */
function findQueuedCost({ cost, largestCost }: PendingEntries): number {
  return cost - largestCost;
}

interface CommitSample {
  readonly cost: number;
  readonly rateTime: number;
}

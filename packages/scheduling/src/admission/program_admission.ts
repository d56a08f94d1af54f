/**
 * Limits the rate at which new programs start while requests keep waiting at the
 * leader, so that programs that have started end in time.
 *
 * A program needs many commands, one after the other, and each of them waits: a
 * queue that a single command can afford makes a whole program late. So new programs
 * are limited long before a command would be rejected for its own wait.
 */

import { RecentMinimum } from "@mallowlift/core";
import { type NewProgram, StartOrder } from "./start_order.ts";

/** Interval at which the limit is adapted, ms. */
const INTERVAL_MILLISECONDS = 100;
/** From which delay of its commands a process limits new programs, and in which order. */
export interface DelayLimits {
  /** Smallest mean delay at which the process counts as full, ms. */
  readonly minTargetMilliseconds: number;
  /**
   * Commands that may wait at a process that is not full. A slow one takes longer for
   * them, and it would idle if new programs were limited by the same delay as at a fast
   * one.
   */
  readonly targetCommands: number;
  /** Commands in an interval below which their delay tells nothing about the load. */
  readonly minCommands: number;
  /**
   * Starts by which a program may be admitted ahead of the rate, for each rank above the
   * lowest, as a time at that rate, ms. Programs of lower ranks start only what is left.
   */
  readonly aheadMilliseconds: number;
  /**
   * Part by which the limit rises in an interval for a delay below the target by the
   * whole range. A leader's rises faster than it falls, since it should not idle while
   * it refuses programs.
   */
  readonly increase: number;
}

/** Limits of a leader. */
const DEFAULT_LIMITS: DelayLimits = {
  minTargetMilliseconds: 80,
  targetCommands: 8,
  minCommands: 5,
  aheadMilliseconds: 100,
  increase: 0.3,
};
/**
 * Delay beyond the target at which no more programs would start, in targets. Between
 * the two, the rate of new programs falls in proportion to the delay.
 */
const DELAY_RANGE = 2;
/**
 * Successive intervals with a delay above the target after which new programs are
 * limited. A short pause of the leader delays commands as well, and a refusal costs a
 * caller more than such a wait.
 */
const INTERVALS_UNTIL_LIMITED = 5;
/** Successive intervals without a refusal after which the limit is lifted. */
const INTERVALS_UNTIL_LIFTED = 10;
/**
 * Part by which the limit falls in an interval, for a delay that exceeds the target by
 * the whole range. Programs act on the load for seconds, so the limit moves slowly.
 */
const DECREASE = 0.02;
/**
 * Smallest rate that is admitted, as a part of the rate at which programs started
 * before the limit. Commands may be delayed by something else than programs, which no
 * limit on them ends.
 */
const MIN_RATE_PART = 0.15;
/** Time over which the rate of programs is averaged, ms. */
const RATE_MILLISECONDS = 1_000;
/** Time for which unused starts are carried over, ms. */
const BURST_MILLISECONDS = 100;
/**
 * Time for which the fastest commit is kept, ms. What commits take beyond it is delay:
 * a quorum with slow disks or long links is not overloaded.
 */
const FASTEST_COMMIT_MILLISECONDS = 60_000;
/** Bounds of the time after which a rejected caller should return, ms. */
const RETRY_MILLISECONDS = { min: 200, max: 2_000 };

/** How long a command waits before and after its request is read. */
export interface CommandDelay {
  /** Age of the request when it is read, ms. */
  readonly ageMilliseconds: number;
  /** Expected time until the command commits, ms. */
  readonly expectedMilliseconds: number;
  /** Priority of its program, 0 by default. */
  readonly priority?: number;
  /** True if its program can no longer end in time, and so waits behind others. */
  readonly isLate?: boolean;
}

/** Commands of one priority in an interval. */
interface PriorityDelay {
  count: number;
  milliseconds: number;
}

/** Options of a {@linkcode ProgramAdmission}. */
export interface ProgramAdmissionOptions {
  /** Can be shared by several admissions of one leader; its own by default. */
  readonly fastestCommit?: RecentMinimum;
  /** Those of a leader by default. */
  readonly limits?: Partial<DelayLimits>;
}

/** Creates a record of the fastest commit of a leader. */
export function createFastestCommit(): RecentMinimum {
  return new RecentMinimum(FASTEST_COMMIT_MILLISECONDS);
}

/**
 * Admits new programs, at a limited rate while commands are delayed.
 *
 * @example
 * ```ts
 * const admission = new ProgramAdmission();
 * admission.recordCommand({ ageMilliseconds: 5, expectedMilliseconds: 0 }, now);
 * admission.tryAdmit(now); // true
 * ```
 */
export class ProgramAdmission {
  readonly #order = new StartOrder();
  readonly #fastestCommit: RecentMinimum;
  readonly #limits: DelayLimits;
  #intervalStart = -Infinity;
  #commands = 0;
  /** By priority. A mean of all would hide the delay of the one that waits. */
  readonly #delays = new Map<number, PriorityDelay>();
  #admitted = 0;
  #refused = 0;
  /** Average rate of commands, per ms. */
  #commandRate = 0;
  /** Average rate at which programs start, in costs per ms. */
  #startRate = 0;
  /** Rate of programs that fits the load, in costs per ms; Infinity without a limit. */
  #limit = Infinity;
  /** Smallest rate that is admitted, per ms. */
  #minRate = 0;
  /** Rate at which programs are admitted now, per ms. */
  #admittedRate = Infinity;
  /** Costs of the programs that may start now. */
  #credit = 0;
  #creditedAt = 0;
  #delayedIntervals = 0;
  /** Costs of the programs that started in these, and their length, ms. */
  #delayedStarts = { costs: 0, milliseconds: 0 };
  #calmIntervals = 0;
  /** Part of the programs of the last interval that were refused. */
  #refusedPart = 0;

  constructor(options: ProgramAdmissionOptions = {}) {
    this.#fastestCommit = options.fastestCommit ?? createFastestCommit();
    this.#limits = { ...DEFAULT_LIMITS, ...options.limits };
  }

  /** True while new programs are limited. */
  get isLimiting(): boolean {
    return this.#limit !== Infinity;
  }

  /** Records a command whose request has been read. */
  recordCommand(command: CommandDelay, now: number): void {
    this.#adapt(now);
    const { ageMilliseconds, expectedMilliseconds, priority = 0 } = command;
    this.#commands++;
    if (command.isLate === true) return;
    const fastestMilliseconds = this.#fastestCommit.value;
    const delay = this.#delays.get(priority) ?? { count: 0, milliseconds: 0 };
    this.#delays.set(priority, delay);
    delay.count++;
    delay.milliseconds += ageMilliseconds +
      Math.max(0, expectedMilliseconds - fastestMilliseconds);
  }

  /** Records how long a command took to commit, ms. */
  recordCommit(milliseconds: number, now: number): void {
    this.#fastestCommit.record(milliseconds, now);
  }

  /**
   * Decides whether a new program may start. Of a limited rate, the more urgent
   * priority takes first, and in each priority the workspaces that have started less
   * than their fair share; programs that are not described are equal.
   */
  tryAdmit(now: number, program?: NewProgram): boolean {
    this.#adapt(now);
    if (this.isLimiting && !this.#takeCredit(now, program)) {
      this.#refused += program?.cost ?? 1;
      return false;
    }
    this.#admitted += program?.cost ?? 1;
    return true;
  }

  #takeCredit(now: number, program: NewProgram | undefined): boolean {
    const earned = (now - this.#creditedAt) * this.#admittedRate;
    const cost = program?.cost ?? 1;
    const most = Math.max(cost, BURST_MILLISECONDS * this.#admittedRate);
    this.#credit = Math.min(most, this.#credit + earned);
    this.#creditedAt = now;
    const rank = program === undefined ? 0 : this.#order.findRank(program, now);
    const { aheadMilliseconds } = this.#limits;
    const ahead = Math.max(cost, aheadMilliseconds * this.#admittedRate);
    if (this.#credit + rank * ahead < cost) return false;
    this.#credit -= cost;
    if (program !== undefined) this.#order.record(program, now);
    return true;
  }

  /** Returns the time after which a rejected caller should return, ms. */
  findRetryAfter(): number {
    const { min, max } = RETRY_MILLISECONDS;
    return Math.round(min + (max - min) * this.#refusedPart);
  }

  #adapt(now: number): void {
    const milliseconds = now - this.#intervalStart;
    if (milliseconds < INTERVAL_MILLISECONDS) return;
    this.#averageRates(milliseconds);
    const excess = this.#findExcess();
    this.#countIntervals(excess > 0, milliseconds);
    this.#adaptLimit(excess, now);
    const tried = this.#admitted + this.#refused;
    this.#refusedPart = tried === 0 ? 0 : this.#refused / tried;
    this.#intervalStart = now;
    this.#commands = 0;
    this.#delays.clear();
    this.#admitted = 0;
    this.#refused = 0;
  }

  /** Returns the delay beyond the target, in parts of the range. */
  #findExcess(): number {
    if (this.#commands < this.#limits.minCommands) return -1 / DELAY_RANGE;
    const delay = this.#findDelay();
    const target = Math.max(
      this.#limits.minTargetMilliseconds,
      this.#limits.targetCommands / this.#commandRate,
    );
    return Math.min(1, (delay - target) / (DELAY_RANGE * target));
  }

  /** Returns the mean delay of all commands or of a priority, whichever is longest, ms. */
  #findDelay(): number {
    let longest = 0;
    let totalCount = 0;
    let totalMilliseconds = 0;
    for (const { count, milliseconds } of this.#delays.values()) {
      totalCount += count;
      totalMilliseconds += milliseconds;
      if (count < this.#limits.minCommands) continue;
      longest = Math.max(longest, milliseconds / count);
    }
    if (totalCount === 0) return 0;
    return Math.max(longest, totalMilliseconds / totalCount);
  }

  #countIntervals(isDelayed: boolean, milliseconds: number): void {
    this.#delayedIntervals = isDelayed ? this.#delayedIntervals + 1 : 0;
    const { costs, milliseconds: before } = this.#delayedStarts;
    this.#delayedStarts = isDelayed
      ? { costs: costs + this.#admitted, milliseconds: before + milliseconds }
      : { costs: 0, milliseconds: 0 };
    const isCalm = !isDelayed && this.#refused === 0;
    this.#calmIntervals = isCalm ? this.#calmIntervals + 1 : 0;
  }

  #averageRates(milliseconds: number): void {
    if (milliseconds === Infinity) return;
    const weight = 1 - Math.exp(-milliseconds / RATE_MILLISECONDS);
    const commandRate = this.#commands / milliseconds;
    this.#commandRate += weight * (commandRate - this.#commandRate);
    const startRate = this.#admitted / milliseconds;
    this.#startRate += weight * (startRate - this.#startRate);
  }

  #adaptLimit(excess: number, now: number): void {
    if (!this.isLimiting) {
      if (this.#delayedIntervals < INTERVALS_UNTIL_LIMITED) return;
      // The average lags behind a burst that has just begun.
      const { costs, milliseconds } = this.#delayedStarts;
      this.#limit = Math.max(this.#startRate, costs / milliseconds);
      this.#minRate = MIN_RATE_PART * this.#limit;
      this.#credit = 0;
      this.#creditedAt = now;
    } else if (this.#calmIntervals >= INTERVALS_UNTIL_LIFTED) {
      this.#limit = Infinity;
      return;
    }
    const gain = excess > 0 ? DECREASE : this.#limits.increase;
    this.#limit = Math.max(this.#minRate, this.#limit * (1 - gain * excess));
    this.#admittedRate = Math.max(this.#minRate, (1 - excess) * this.#limit);
  }
}

/**
 * Divides a leader's capacity between workspaces while the leader is
 * overloaded: a workspace that exceeds its fair share is refused before the
 * others are.
 */

/** Pressure from which fair shares are enforced; below it all commands are admitted. */
const MIN_PRESSURE = 0.25;
/**
 * How far a workspace may exceed its fair share at {@linkcode MIN_PRESSURE}, as
 * a fraction of that share; the allowance shrinks to 0 at full pressure.
 */
const MAX_EXCESS = 1;
/** Time constant of the exponential decay of admitted commands, ms. */
const DECAY_MILLISECONDS = 1_000;
/** Decayed number of commands below which a workspace is dropped. */
const MIN_COUNT = 0.01;

/** A workspace and the weight of its share. */
export interface Share {
  readonly workspace: string;
  /** Relative entitlement, in the same unit for all workspaces. */
  readonly weight: number;
}

interface Usage {
  /** Admitted commands, which decay exponentially with their age. */
  count: number;
  at: number;
  weight: number;
}

/**
 * Compares the recently admitted commands of each workspace with its fair share.
 *
 * @example
 * ```ts
 * const shares = new FairShares();
 * shares.tryAdmit({ workspace: "north", weight: 10 }, 0.8, now); // true at first
 * ```
 */
export class FairShares {
  readonly #usages = new Map<string, Usage>();

  /**
   * Admits a command and counts it, or refuses it.
   *
   * @param pressure 0 if the leader's queue is empty, 1 if it refuses new work
   * @returns false if the pressure is at least {@linkcode MIN_PRESSURE} and the
   * workspace has reached its limit at this pressure
   */
  tryAdmit(share: Share, pressure: number, now: number): boolean {
    const usage = this.#update(share, now);
    const isLimited = pressure >= MIN_PRESSURE;
    if (isLimited && usage.count >= this.#findLimit(share, pressure, now)) {
      return false;
    }
    usage.count++;
    return true;
  }

  /** True if a workspace has used less than its fair share lately. */
  isBelowShare(share: Share, now: number): boolean {
    const usage = this.#update(share, now);
    return usage.count < this.#findFairShare(share, now);
  }

  /** Counts a command that was admitted otherwise. */
  record(share: Share, now: number): void {
    this.#update(share, now).count++;
  }

  /** Returns the limit of a workspace, which falls to its fair share as pressure rises. */
  #findLimit(share: Share, pressure: number, now: number): number {
    const headroom = Math.max(0, 1 - pressure) / (1 - MIN_PRESSURE);
    const fairShare = this.#findFairShare(share, now);
    return Math.max(1, fairShare * (1 + MAX_EXCESS * headroom));
  }

  /** Returns the part of a workspace in the commands of all, by its weight. */
  #findFairShare(share: Share, now: number): number {
    let count = 0;
    let weight = 0;
    for (const [workspace, usage] of this.#usages) {
      const decayed = decayCount(usage, now);
      const isExpired = decayed < MIN_COUNT && workspace !== share.workspace;
      if (isExpired) this.#usages.delete(workspace);
      count += decayed;
      weight += usage.weight;
    }
    return count * share.weight / weight;
  }

  /** Returns the usage of a workspace, decayed up to now. */
  #update({ workspace, weight }: Share, now: number): Usage {
    const known = this.#usages.get(workspace);
    const usage = known ?? { count: 0, at: now, weight };
    usage.count = decayCount(usage, now);
    usage.at = now;
    usage.weight = weight;
    this.#usages.set(workspace, usage);
    return usage;
  }
}

function decayCount({ count, at }: Usage, now: number): number {
  return count * Math.exp((at - now) / DECAY_MILLISECONDS);
}

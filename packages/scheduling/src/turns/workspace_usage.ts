/** What the workspaces of one priority have used lately. */

import type { TurnDemand } from "./turn_demand.ts";

/** Time constant of the exponential decay of started turns, ms. */
const DECAY_MILLISECONDS = 1_000;
/** Decayed number of turns below which a workspace is dropped. */
const MIN_COUNT = 0.05;
/** Interval at which unused workspaces are dropped, ms. */
const SWEEP_MILLISECONDS = 1_000;
/** How far a workspace may exceed the mean before it counts as above its share. */
const ALLOWANCE = 1.25;

interface Usage {
  count: number;
  at: number;
  weight: number;
}

/**
 * Compares the turns that a workspace has started with those of the others.
 *
 * @example
 * ```ts
 * const usage = new WorkspaceUsage();
 * usage.record({ workspace: "north", weight: 10 }, now);
 * usage.find("north", now); // 0.1
 * ```
 */
export class WorkspaceUsage {
  readonly #usages = new Map<string, Usage>();
  readonly #total: Usage = { count: 0, at: 0, weight: 0 };
  #sweptAt = -Infinity;

  /** Counts a turn that starts. */
  record(
    { workspace, weight }: Pick<TurnDemand, "workspace" | "weight">,
    now: number,
  ): void {
    this.#sweep(now);
    const usage = this.#usages.get(workspace) ??
      { count: 0, at: now, weight: 0 };
    this.#usages.set(workspace, usage);
    this.#total.weight += weight - usage.weight;
    usage.weight = weight;
    for (const changed of [usage, this.#total]) {
      changed.count = decay(changed, now) + 1;
      changed.at = now;
    }
  }

  /** Returns the decayed number of turns that a workspace has started, by its weight. */
  find(workspace: string, now: number): number {
    const usage = this.#usages.get(workspace);
    return usage === undefined ? 0 : decay(usage, now) / usage.weight;
  }

  /** Returns the value of {@linkcode find} up to which a workspace keeps to its share. */
  findShare(now: number): number {
    if (this.#usages.size === 0) return 0;
    return ALLOWANCE * decay(this.#total, now) / this.#total.weight;
  }

  /** Returns which part of all turns workspaces have started beyond their share. */
  findExcessPart(now: number): number {
    const total = decay(this.#total, now);
    if (total < MIN_COUNT) return 0;
    const share = this.findShare(now);
    let excess = 0;
    for (const usage of this.#usages.values()) {
      excess += Math.max(0, decay(usage, now) - share);
    }
    return excess / total;
  }

  #sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_MILLISECONDS) return;
    this.#sweptAt = now;
    for (const [workspace, usage] of this.#usages) {
      if (decay(usage, now) >= MIN_COUNT) continue;
      this.#usages.delete(workspace);
      this.#total.weight -= usage.weight;
    }
  }
}

function decay({ count, at }: Usage, now: number): number {
  return count * Math.exp((at - now) / DECAY_MILLISECONDS);
}

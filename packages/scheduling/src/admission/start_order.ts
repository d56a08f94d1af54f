/** Decides which programs may start before others when not all can. */

import { FairShares } from "./fair_shares.ts";

/** Time after its latest program at which a priority no longer counts as active, ms. */
const ACTIVE_MILLISECONDS = 1_000;

/** A program that asks to start. */
export interface NewProgram {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Workspace that it is charged to; empty if there is none. */
  readonly workspace: string;
  /** Relative entitlement of the workspace, in the same unit for all. */
  readonly weight: number;
  /** Load that it is expected to cause, in any unit that is the same for all; 1 by default. */
  readonly cost?: number;
}

interface ActivePriority {
  readonly shares: FairShares;
  triedAt: number;
}

/**
 * Ranks programs by priority, then by whether their workspace has started less than its
 * fair share.
 *
 * @example
 * ```ts
 * const order = new StartOrder();
 * order.findRank({ priority: 0, workspace: "north", weight: 1 }, now); // 0 if it is the only one
 * ```
 */
export class StartOrder {
  /** Only those that are active. */
  readonly #priorities = new Map<number, ActivePriority>();

  /**
   * Returns the rank of a program that asks to start: 0 for the least important among
   * those that asked lately, higher for those that go before.
   */
  findRank({ priority, workspace, weight }: NewProgram, now: number): number {
    const { shares } = this.#update(priority, now);
    let lesser = 0;
    for (const other of this.#priorities.keys()) {
      if (other > priority) lesser++;
    }
    const share = { workspace, weight };
    return 2 * lesser + (shares.isBelowShare(share, now) ? 1 : 0);
  }

  /** Counts a program that starts. */
  record({ priority, workspace, weight }: NewProgram, now: number): void {
    const share = { workspace, weight };
    this.#update(priority, now).shares.record(share, now);
  }

  #update(priority: number, now: number): ActivePriority {
    const active = this.#priorities.get(priority) ??
      { shares: new FairShares(), triedAt: now };
    active.triedAt = now;
    this.#priorities.set(priority, active);
    for (const [other, { triedAt }] of this.#priorities) {
      const isIdle = now - triedAt > ACTIVE_MILLISECONDS;
      if (isIdle) this.#priorities.delete(other);
    }
    return active;
  }
}

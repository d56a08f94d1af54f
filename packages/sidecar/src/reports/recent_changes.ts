/** Cache changes of the last while, for reports that may be lost or doubled. */

import type { CacheChange } from "@mallowlift/core";

interface TimedChange {
  readonly change: CacheChange;
  readonly at: number;
}

/** Keeps the latest change of each program for a while. */
export class RecentChanges {
  readonly #keepMilliseconds: number;
  readonly #changes = new Map<string, TimedChange>();

  constructor(keepMilliseconds: number) {
    this.#keepMilliseconds = keepMilliseconds;
  }

  /** Adds changes in the order in which they happened. */
  add(changes: readonly CacheChange[], now: number): void {
    for (const change of changes) {
      this.#changes.set(change.programId, { change, at: now });
    }
  }

  /** Returns what is recent enough and forgets the rest. */
  list(now: number): readonly CacheChange[] {
    for (const [programId, { at }] of this.#changes) {
      if (now - at > this.#keepMilliseconds) this.#changes.delete(programId);
    }
    return [...this.#changes.values()].map(({ change }) => change);
  }
}

/**
 * Recent cache changes of an upstream. Each is included in several reports,
 * because a report may be lost or duplicated.
 */

import type { CacheChange } from "@mallowlift/core";

interface TimedChange {
  readonly change: CacheChange;
  readonly at: number;
}

/** Keeps the latest change of each program for a fixed time. */
export class RecentChanges {
  readonly #keepMilliseconds: number;
  readonly #changes = new Map<string, TimedChange>();

  constructor(keepMilliseconds: number) {
    this.#keepMilliseconds = keepMilliseconds;
  }

  /** Adds changes, oldest first. */
  add(changes: readonly CacheChange[], now: number): void {
    for (const change of changes) {
      this.#changes.set(change.programId, { change, at: now });
    }
  }

  /** Evicts expired changes and returns the others. */
  list(now: number): readonly CacheChange[] {
    for (const [programId, { at }] of this.#changes) {
      if (now - at > this.#keepMilliseconds) this.#changes.delete(programId);
    }
    return [...this.#changes.values()].map(({ change }) => change);
  }
}

/**
 * What may no longer run here: dispatches of older terms, and single
 * attempts that an owner was told have never run.
 */

import { type AttemptKey, formatAttemptKey } from "@mallowlift/core";

/** Highest terms and fenced attempts. */
export class Fence {
  readonly #terms = new Map<number, number>();
  readonly #fencedAt = new Map<string, number>();

  /**
   * Notes the term of an owner's message.
   *
   * @returns false if a later owner of the group was heard before
   */
  admitTerm(group: number, term: number): boolean {
    const highest = this.#terms.get(group) ?? 0;
    if (term < highest) return false;
    this.#terms.set(group, term);
    return true;
  }

  /** Fences one attempt: a dispatch of it that is still under way will not run. */
  fence(key: AttemptKey, now: number): void {
    this.#fencedAt.set(formatAttemptKey(key), now);
  }

  /** True if the attempt must not run. */
  isFenced(key: AttemptKey): boolean {
    return this.#fencedAt.has(formatAttemptKey(key));
  }

  /** Forgets fences that no message can be under way for any more. */
  forgetBefore(time: number): void {
    for (const [key, fencedAt] of this.#fencedAt) {
      if (fencedAt < time) this.#fencedAt.delete(key);
    }
  }
}

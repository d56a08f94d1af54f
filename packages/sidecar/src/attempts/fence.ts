/**
 * Fencing of dispatches: those with a term older than the highest one of
 * their group, and those of single attempts that were reported as never run
 * or cancelled.
 */

import {
  type AttemptKey,
  dropAcceptance,
  formatAttemptKey,
} from "@mallowlift/core";

/** Keeps the highest term of each group and the fenced attempts. */
export class Fence {
  readonly #highestTerms = new Map<number, number>();
  readonly #fencedAt = new Map<string, number>();

  /**
   * Records the term of a message from a group's owner.
   *
   * @returns false if the group has already sent a higher term
   */
  acceptTerm(group: number, term: number): boolean {
    const highest = this.#highestTerms.get(group) ?? 0;
    if (term < highest) return false;
    this.#highestTerms.set(group, term);
    return true;
  }

  /** Fences an attempt, so that a dispatch still in flight will not run it. */
  fence(key: AttemptKey, now: number): void {
    this.#fencedAt.set(formatAttemptKey(key), now);
  }

  /** Returns true if the attempt must not run; owners of earlier versions fence all acceptances. */
  isFenced(key: AttemptKey): boolean {
    return this.#fencedAt.has(formatAttemptKey(key)) ||
      this.#fencedAt.has(formatAttemptKey(dropAcceptance(key)));
  }

  /**
   * Evicts fences set before a time; messages that they fence must no longer
   * be in flight.
   */
  evictBefore(cutoff: number): void {
    for (const [key, fencedAt] of this.#fencedAt) {
      if (fencedAt < cutoff) this.#fencedAt.delete(key);
    }
  }
}

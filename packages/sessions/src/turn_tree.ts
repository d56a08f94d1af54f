/** Kept turns: each goes on from at most one other, and several may fork. */

import type { EndTurn, KeptTurn } from "@mallowlift/core";

/** A kept turn with the time it is kept until. */
export interface StoredTurn extends KeptTurn {
  /** Time of the site, ms. */
  readonly expiresAt: number;
}

type MutableTurn = KeptTurn & { expiresAt: number };

/** The turns of all programs. */
export class TurnTree {
  readonly #turns = new Map<string, MutableTurn>();

  /** Number of kept turns. */
  get size(): number {
    return this.#turns.size;
  }

  /** True if a turn is kept. */
  has(turnId: string): boolean {
    return this.#turns.has(turnId);
  }

  /** Keeps a turn, and the turns that it goes on from for as long. */
  keep(turn: EndTurn, at: number): void {
    if (this.#turns.has(turn.turnId)) return;
    const expiresAt = at + turn.retentionMilliseconds;
    const { turnId, previousId, input, output, upstream } = turn;
    const kept = { turnId, previousId, input, output, upstream, expiresAt };
    this.#turns.set(turnId, kept);
    this.#prolong(previousId, expiresAt);
  }

  /**
   * Returns a turn and those before it, newest first; stops where one is
   * missing or known to the one who asks.
   */
  listBack(
    turnId: string,
    known: ReadonlySet<string> = new Set(),
  ): readonly KeptTurn[] {
    const chain: KeptTurn[] = [];
    let turn = this.#turns.get(turnId);
    while (turn !== undefined && !known.has(turn.turnId)) {
      const { expiresAt: _expiresAt, ...kept } = turn;
      chain.push(kept);
      turn = this.#turns.get(turn.previousId);
    }
    return chain;
  }

  /** Forgets turns whose time has passed. */
  sweep(at: number): void {
    for (const [turnId, turn] of this.#turns) {
      if (turn.expiresAt < at) this.#turns.delete(turnId);
    }
  }

  /**
   * All turns, for a snapshot that is made while later commands are applied.
   * Copied, since the time until which a turn is kept grows: a snapshot with a
   * later time for a turn than for the one before it would break the chain
   * when commands are applied to it again.
   */
  store(): readonly StoredTurn[] {
    const stored: StoredTurn[] = [];
    for (const turn of this.#turns.values()) stored.push(copyTurn(turn));
    return stored;
  }

  /** Replaces everything by the content of a snapshot. */
  restore(turns: readonly StoredTurn[]): void {
    this.#turns.clear();
    for (const turn of turns) this.#turns.set(turn.turnId, copyTurn(turn));
  }

  #prolong(turnId: string, expiresAt: number): void {
    let turn = this.#turns.get(turnId);
    while (turn !== undefined && turn.expiresAt < expiresAt) {
      turn.expiresAt = expiresAt;
      turn = this.#turns.get(turn.previousId);
    }
  }
}

/** Field by field: spread properties cost several times as much, for each turn. */
function copyTurn(turn: StoredTurn): MutableTurn {
  const { turnId, previousId, input, output, upstream, expiresAt } = turn;
  return { turnId, previousId, input, output, upstream, expiresAt };
}

/** The kept turns as a forest: each turn continues at most one other turn. */

import type { EndTurn, TurnRecord } from "@mallowlift/core";

/** A kept turn with its expiry time. */
export interface StoredTurn extends TurnRecord {
  /** Site time, ms. */
  readonly expiresAt: number;
}

type MutableTurn = TurnRecord & {
  expiresAt: number;
  /**
   * Length of the inputs and outputs of the whole chain, bytes; undefined if a turn
   * of it is missing.
   */
  readonly chainBytes: number | undefined;
};

/**
 * The turns of all programs. No turn expires before one that continues it, so that a
 * chain which was whole when its last turn was kept stays whole.
 */
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

  /** Returns the upstream that ran a kept turn; empty if unknown. */
  findUpstream(turnId: string): string {
    return this.#turns.get(turnId)?.upstream ?? "";
  }

  /**
   * Keeps a turn, and extends the retention of the turns before it accordingly. If one
   * of them is missing, the turn is kept as one that cannot be continued.
   *
   * @returns true if the whole chain is kept
   */
  keep(turn: EndTurn, at: number): boolean {
    const known = this.#turns.get(turn.turnId);
    if (known !== undefined) return known.chainBytes !== undefined;
    const expiresAt = at + turn.retentionMilliseconds;
    const { turnId, previousId, input, output, upstream } = turn;
    const kept = { turnId, previousId, input, output, upstream, expiresAt };
    const chainBytes = this.#measureWith(kept);
    this.#turns.set(turnId, { ...kept, chainBytes });
    this.extendRetention(previousId, expiresAt);
    return chainBytes !== undefined;
  }

  /** Keeps a turn and those before it at least until a site time, ms. */
  extendRetention(turnId: string, expiresAt: number): void {
    let turn = this.#turns.get(turnId);
    while (turn !== undefined && turn.expiresAt < expiresAt) {
      turn.expiresAt = expiresAt;
      turn = this.#turns.get(turn.previousId);
    }
  }

  /** True if a turn and those before it are kept until a site time, ms. */
  isKeptUntil(turnId: string, at: number): boolean {
    const turn = this.#turns.get(turnId);
    return turn?.chainBytes !== undefined && turn.expiresAt >= at;
  }

  /**
   * Returns the length of the inputs and outputs of a turn and of all before it, bytes;
   * 0 without a turn, undefined if one of them is missing.
   */
  measureChain(turnId: string): number | undefined {
    return turnId === "" ? 0 : this.#turns.get(turnId)?.chainBytes;
  }

  /**
   * Returns a turn and those before it, newest first, down to a turn that is already
   * known to the caller; undefined if one of them is missing.
   */
  listChain(
    turnId: string,
    known: ReadonlySet<string> = new Set(),
  ): readonly TurnRecord[] | undefined {
    const chain: TurnRecord[] = [];
    let next = turnId;
    while (next !== "" && !known.has(next)) {
      const turn = this.#turns.get(next);
      if (turn === undefined) return undefined;
      const { expiresAt: _expiresAt, chainBytes: _chainBytes, ...kept } = turn;
      chain.push(kept);
      next = turn.previousId;
    }
    return chain;
  }

  /** Drops expired turns. */
  sweep(at: number): void {
    for (const [turnId, turn] of this.#turns) {
      if (turn.expiresAt < at) this.#turns.delete(turnId);
    }
  }

  /**
   * Returns copies of all turns for a snapshot that is encoded while later
   * commands are applied. Without copies, an expiry time that is extended
   * meanwhile could enter the snapshot for a turn but not for the one before it,
   * and the chain would break when the commands are applied to the snapshot.
   */
  store(): readonly StoredTurn[] {
    const stored: StoredTurn[] = [];
    for (const turn of this.#turns.values()) stored.push(copyTurn(turn));
    return stored;
  }

  /**
   * Replaces all turns by those of a snapshot, which lists each turn after the one that
   * it continues.
   */
  restore(turns: readonly StoredTurn[]): void {
    this.#turns.clear();
    for (const turn of turns) {
      const chainBytes = this.#measureWith(turn);
      this.#turns.set(turn.turnId, { ...copyTurn(turn), chainBytes });
    }
  }

  /** Length of the chain that ends with a turn which is not kept yet, bytes. */
  #measureWith(turn: TurnRecord): number | undefined {
    const before = this.measureChain(turn.previousId);
    if (before === undefined) return undefined;
    return before + turn.input.length + turn.output.length;
  }
}

/** Copies field by field, as spreading properties takes several times as long. */
function copyTurn(turn: StoredTurn): StoredTurn {
  const { turnId, previousId, input, output, upstream, expiresAt } = turn;
  return { turnId, previousId, input, output, upstream, expiresAt };
}

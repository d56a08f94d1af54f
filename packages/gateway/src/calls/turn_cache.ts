/** Turns that this gateway has seen lately, so that they need not be fetched. */

import { Buffer } from "node:buffer";
import type { KeptTurn } from "@mallowlift/core";

/** What a turn costs besides its bytes, about. */
const TURN_OVERHEAD_BYTES = 400;

/** Keeps the turns that were used last. */
export class TurnCache {
  readonly #maxBytes: number;
  readonly #turns = new Map<string, KeptTurn>();
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Takes a turn in, and lets the least recently used go. */
  put(turn: KeptTurn): void {
    if (this.#turns.has(turn.turnId)) return;
    this.#turns.set(turn.turnId, turn);
    this.#bytes += measure(turn);
    for (const [turnId, oldest] of this.#turns) {
      if (this.#bytes <= this.#maxBytes) return;
      this.#turns.delete(turnId);
      this.#bytes -= measure(oldest);
    }
  }

  /** The first turn, seen backwards, that is missing; empty if none is. */
  findMissing(turnId: string): string {
    let missing = turnId;
    while (missing !== "") {
      const turn = this.#turns.get(missing);
      if (turn === undefined) return missing;
      missing = turn.previousId;
    }
    return "";
  }

  /** A turn and all before it, oldest first; undefined if one is missing. */
  listChain(turnId: string): readonly KeptTurn[] | undefined {
    const chain: KeptTurn[] = [];
    let next = turnId;
    while (next !== "") {
      const turn = this.#turns.get(next);
      if (turn === undefined) return undefined;
      this.#turns.delete(next);
      this.#turns.set(next, turn);
      chain.push(turn);
      next = turn.previousId;
    }
    return chain.reverse();
  }
}

/** The prompt of a turn: all inputs and outputs before it, then its own input. */
export function joinPrompt(
  chain: readonly KeptTurn[],
  input: Buffer,
): Buffer {
  const parts: Uint8Array[] = [];
  for (const turn of chain) parts.push(turn.input, turn.output);
  parts.push(input);
  return Buffer.concat(parts);
}

function measure(turn: KeptTurn): number {
  return turn.input.length + turn.output.length + TURN_OVERHEAD_BYTES;
}

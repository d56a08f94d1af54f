/** Turns that this gateway has seen lately, so that they need not be fetched. */

import { Buffer } from "node:buffer";
import type { KeptTurn } from "@mallowlift/core";

/** What a turn costs besides its bytes, about. */
const TURN_OVERHEAD_BYTES = 400;

/** Newest turns of a program that are named as known: some lines side by side. */
const KNOWN_TURNS = 8;

interface CachedTurn {
  readonly turn: KeptTurn;
  readonly programId: string;
}

/**
 * Keeps the turns that were used last.
 *
 * @example
 * ```ts
 * const cache = new TurnCache(16_777_216);
 * cache.put(turn, "program-1");
 * cache.listChain(turn.turnId); // the turn and all before it, or undefined
 * ```
 */
export class TurnCache {
  readonly #maxBytes: number;
  readonly #turns = new Map<string, CachedTurn>();
  /** Turns of each program, in the order they came. */
  readonly #byProgram = new Map<string, Set<string>>();
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Takes a turn in, and lets the least recently used go. */
  put(turn: KeptTurn, programId: string): void {
    if (this.#turns.has(turn.turnId)) return;
    this.#turns.set(turn.turnId, { turn, programId });
    const ofProgram = this.#byProgram.get(programId);
    if (ofProgram === undefined) {
      this.#byProgram.set(programId, new Set([turn.turnId]));
    } else ofProgram.add(turn.turnId);
    this.#bytes += measure(turn);
    for (const [turnId, oldest] of this.#turns) {
      if (this.#bytes <= this.#maxBytes) return;
      this.#drop(turnId, oldest);
    }
  }

  /** The newest turns of a program that are here with all before them. */
  listWhole(programId: string): readonly string[] {
    const ofProgram = [...this.#byProgram.get(programId) ?? []];
    return ofProgram.slice(-KNOWN_TURNS).filter((turnId) =>
      this.findMissing(turnId) === ""
    );
  }

  /** The first turn, seen backwards, that is missing; empty if none is. */
  findMissing(turnId: string): string {
    let missing = turnId;
    while (missing !== "") {
      const cached = this.#turns.get(missing);
      if (cached === undefined) return missing;
      missing = cached.turn.previousId;
    }
    return "";
  }

  /** A turn and all before it, oldest first; undefined if one is missing. */
  listChain(turnId: string): readonly KeptTurn[] | undefined {
    const chain: KeptTurn[] = [];
    let next = turnId;
    while (next !== "") {
      const cached = this.#turns.get(next);
      if (cached === undefined) return undefined;
      this.#turns.delete(next);
      this.#turns.set(next, cached);
      chain.push(cached.turn);
      next = cached.turn.previousId;
    }
    return chain.reverse();
  }

  #drop(turnId: string, cached: CachedTurn): void {
    this.#turns.delete(turnId);
    this.#bytes -= measure(cached.turn);
    const ofProgram = this.#byProgram.get(cached.programId);
    ofProgram?.delete(turnId);
    if (ofProgram?.size === 0) this.#byProgram.delete(cached.programId);
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

/** Caches recent turns, so that their contents need not be fetched from the stores. */

import { Buffer } from "node:buffer";
import type { TurnRecord } from "@mallowlift/core";

/** Approximate memory of a turn in addition to its input and output, bytes. */
const TURN_OVERHEAD_BYTES = 400;

/** Maximum of a program's turns reported as known: enough for several parallel chains. */
const MAX_KNOWN_TURNS = 8;

interface CachedTurn {
  readonly turn: TurnRecord;
  readonly programId: string;
}

/**
 * A cache of turns with a size limit and least-recently-used eviction.
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
  /** Ids of each program's turns, in order of insertion. */
  readonly #byProgram = new Map<string, Set<string>>();
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Adds a turn and evicts the least recently used ones above the size limit. */
  put(turn: TurnRecord, programId: string): void {
    if (this.#turns.has(turn.turnId)) return;
    this.#turns.set(turn.turnId, { turn, programId });
    const programTurns = this.#byProgram.get(programId);
    if (programTurns === undefined) {
      this.#byProgram.set(programId, new Set([turn.turnId]));
    } else programTurns.add(turn.turnId);
    this.#bytes += measureBytes(turn);
    for (const [turnId, oldest] of this.#turns) {
      if (this.#bytes <= this.#maxBytes) return;
      this.#evict(turnId, oldest);
    }
  }

  /** Ids of the program's newest turns whose whole chain is cached. */
  listCompleteTurnIds(programId: string): readonly string[] {
    const programTurns = [...this.#byProgram.get(programId) ?? []];
    return programTurns.slice(-MAX_KNOWN_TURNS).filter((turnId) =>
      this.findMissingTurnId(turnId) === ""
    );
  }

  /** Id of the latest turn of a chain that is not cached; empty if all are. */
  findMissingTurnId(turnId: string): string {
    let missing = turnId;
    while (missing !== "") {
      const cached = this.#turns.get(missing);
      if (cached === undefined) return missing;
      missing = cached.turn.previousId;
    }
    return "";
  }

  /** A turn and all turns before it, oldest first; undefined if one is missing. */
  listChain(turnId: string): readonly TurnRecord[] | undefined {
    const chain: TurnRecord[] = [];
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

  /** Drops a turn and all turns before it. */
  dropChain(turnId: string): void {
    let next = turnId;
    while (next !== "") {
      const cached = this.#turns.get(next);
      if (cached === undefined) return;
      this.#evict(next, cached);
      next = cached.turn.previousId;
    }
  }

  #evict(turnId: string, cached: CachedTurn): void {
    this.#turns.delete(turnId);
    this.#bytes -= measureBytes(cached.turn);
    const programTurns = this.#byProgram.get(cached.programId);
    programTurns?.delete(turnId);
    if (programTurns?.size === 0) this.#byProgram.delete(cached.programId);
  }
}

/** The prompt of a turn: all inputs and outputs before it, then its own input. */
export function joinPrompt(
  chain: readonly TurnRecord[],
  input: Buffer,
): Buffer {
  const parts: Uint8Array[] = [];
  for (const turn of chain) parts.push(turn.input, turn.output);
  parts.push(input);
  return Buffer.concat(parts);
}

/** Length of the prompt of a turn, bytes. */
export function measurePrompt(
  chain: readonly TurnRecord[],
  input: Buffer,
): number {
  return measureTurns(chain) + input.length;
}

/** Length of the inputs and outputs of turns, bytes. */
export function measureTurns(turns: readonly TurnRecord[]): number {
  let length = 0;
  for (const turn of turns) length += turn.input.length + turn.output.length;
  return length;
}

function measureBytes(turn: TurnRecord): number {
  return turn.input.length + turn.output.length + TURN_OVERHEAD_BYTES;
}

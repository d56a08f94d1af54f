/**
 * The state of a site as bytes: a head, then batches of what is told of turns
 * and of budgets, then inputs and outputs as they are.
 *
 * The load it answers: a leader that writes the state of a busy site. Encoded
 * in one go, the heads of 26,000 turns hold its event loop up for 300 ms of a
 * whole core, which on a small share of one is longer than its voters wait for
 * a word. In batches made as they are asked for, no step takes more than the
 * time for {@linkcode BATCH_TURNS} of them.
 */

import { Buffer } from "node:buffer";
import { decode, encode } from "cbor-x";
import type { ReplaceDocument } from "@mallowlift/core";
import type { StoredBudget } from "./budgets.ts";
import type { StoredTurn } from "./turn_tree.ts";

/** Bytes of the number that tells how long the head is. */
const LENGTH_BYTES = 4;

/** Snapshots of the first release are one CBOR map; no head is as long as that. */
const FIRST_MAP_BYTE = 0xa0;
/** Set in the length of a head that is followed by batches. */
const BATCHED = 0x80000000;
/** Turns told of in one batch: about a millisecond of a whole core. */
const BATCH_TURNS = 256;
/** Budgets told of in one batch; each names the turns of its program. */
const BATCH_BUDGETS = 64;

/** Everything that a site keeps. */
export interface StoredSite {
  readonly document: ReplaceDocument | undefined;
  readonly turns: readonly StoredTurn[];
  readonly budgets: readonly StoredBudget[];
  readonly retiring: readonly (readonly [string, string])[];
  readonly time: number;
}

type TurnHead = Omit<StoredTurn, "input" | "output"> & {
  readonly inputBytes: number;
  readonly outputBytes: number;
};

/** Head of a snapshot without batches. */
type WholeHead = Omit<StoredSite, "turns"> & {
  readonly turns: readonly TurnHead[];
};

type BatchedHead = Omit<StoredSite, "turns" | "budgets"> & {
  readonly turnBatches: number;
  readonly budgetBatches: number;
};

/**
 * Serializes a site, part by part as they are asked for. Contents of turns make
 * up nearly all of it, and stay the memory that they are: a store must not need
 * twice its state for a snapshot. Neither the site nor its turns may change
 * until the last part is made.
 *
 * @example
 * ```ts
 * const parts = [...encodeSiteSnapshot(stored)];
 * decodeSiteSnapshot(Buffer.concat(parts));
 * ```
 */
export function* encodeSiteSnapshot(site: StoredSite): Iterable<Uint8Array> {
  const { turns, budgets, ...rest } = site;
  const turnBatches = cut(turns, BATCH_TURNS);
  const budgetBatches = cut(budgets, BATCH_BUDGETS);
  const head: BatchedHead = {
    ...rest,
    turnBatches: turnBatches.length,
    budgetBatches: budgetBatches.length,
  };
  yield encodeSized(head, BATCHED);
  for (const batch of budgetBatches) yield encodeSized(batch);
  for (const batch of turnBatches) yield encodeSized(batch.map(describeTurn));
  for (const turn of turns) {
    yield turn.input;
    yield turn.output;
  }
}

/** Reads what {@linkcode encodeSiteSnapshot} or an earlier release has written. */
export function decodeSiteSnapshot(snapshot: Uint8Array): StoredSite {
  const bytes = Buffer.from(
    snapshot.buffer,
    snapshot.byteOffset,
    snapshot.length,
  );
  if ((bytes[0] ?? 0) >= FIRST_MAP_BYTE) return decode(bytes) as StoredSite;
  const reader = new SnapshotReader(bytes);
  if (bytes.readUInt32BE(0) < BATCHED) {
    const { turns, ...rest } = reader.takeSized() as WholeHead;
    return { ...rest, turns: reader.takeContents(turns) };
  }
  const { turnBatches, budgetBatches, ...rest } = reader
    .takeSized() as BatchedHead;
  const budgets = reader.takeBatches<StoredBudget>(budgetBatches);
  const turns = reader.takeBatches<TurnHead>(turnBatches);
  return { ...rest, budgets, turns: reader.takeContents(turns) };
}

class SnapshotReader {
  readonly #bytes: Buffer;
  #offset = 0;

  constructor(bytes: Buffer) {
    this.#bytes = bytes;
  }

  takeSized(): unknown {
    const length = this.#bytes.readUInt32BE(this.#offset) % BATCHED;
    this.#offset += LENGTH_BYTES;
    return decode(this.#take(length));
  }

  takeBatches<T>(count: number): readonly T[] {
    const values: T[] = [];
    for (let batch = 0; batch < count; batch++) {
      values.push(...this.takeSized() as readonly T[]);
    }
    return values;
  }

  takeContents(heads: readonly TurnHead[]): readonly StoredTurn[] {
    return heads.map(({ inputBytes, outputBytes, ...turn }) => ({
      ...turn,
      input: this.#take(inputBytes),
      output: this.#take(outputBytes),
    }));
  }

  #take(length: number): Buffer {
    return this.#bytes.subarray(this.#offset, this.#offset += length);
  }
}

function describeTurn(turn: StoredTurn): TurnHead {
  const { input, output, ...rest } = turn;
  return { ...rest, inputBytes: input.length, outputBytes: output.length };
}

function cut<T>(values: readonly T[], most: number): readonly (readonly T[])[] {
  const batches: (readonly T[])[] = [];
  for (let start = 0; start < values.length; start += most) {
    batches.push(values.slice(start, start + most));
  }
  return batches;
}

function encodeSized(value: unknown, mark = 0): Buffer {
  const encoded = encode(value);
  const sized = Buffer.allocUnsafe(LENGTH_BYTES + encoded.length);
  sized.writeUInt32BE(mark + encoded.length, 0);
  sized.set(encoded, LENGTH_BYTES);
  return sized;
}

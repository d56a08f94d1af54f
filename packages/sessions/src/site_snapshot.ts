/**
 * Serializes the state of a site: a head, then batches of budgets and of turn
 * heads, then the inputs and outputs of the turns.
 *
 * Encoding the heads of 26,000 turns at once would block the event loop for
 * 300 ms of a full core, which on a fraction of a core exceeds the election
 * timeout of the voters. Batches are therefore encoded on demand, and no step
 * takes longer than the encoding of {@linkcode TURNS_PER_BATCH} turn heads.
 */

import { Buffer } from "node:buffer";
import { decode } from "cbor-x";
import type { PackedDocument } from "@mallowlift/core";
import type { StoredBudget } from "./budgets.ts";
import type { StoredQuota } from "./quotas.ts";
import type { StoredUpload } from "./document_uploads.ts";
import type { UnpackedDocument } from "./packed_document.ts";
import {
  encodePrefixed,
  MARK_BIT,
  PrefixedReader,
  splitBatches,
} from "./length_prefixed.ts";
import type { StoredTurn } from "./turn_tree.ts";

/**
 * Lowest first byte of a snapshot of the first release, which is a single CBOR
 * map. The first byte of a length prefix is lower, also with the mark, since no
 * head is as long as 512 MiB.
 */
const FIRST_MAP_BYTE = 0xa0;
/** Turn heads in one batch, whose encoding takes about 1 ms of a full core. */
const TURNS_PER_BATCH = 256;
/** Budgets in one batch; each lists the turns of its program. */
const BUDGETS_PER_BATCH = 64;

/** The complete state of a site. */
export interface StoredSite {
  /** Unpacked in snapshots of earlier releases. */
  readonly document: PackedDocument | UnpackedDocument | undefined;
  /** Unfinished uploads of documents; missing in earlier releases. */
  readonly uploads?: readonly StoredUpload[];
  readonly turns: readonly StoredTurn[];
  readonly budgets: readonly StoredBudget[];
  /** Missing in earlier releases. */
  readonly quotas?: readonly StoredQuota[];
  readonly retiring: readonly (readonly [string, string])[];
  readonly time: number;
}

type TurnHead = Omit<StoredTurn, "input" | "output"> & {
  readonly inputBytes: number;
  readonly outputBytes: number;
};

/** Head of a snapshot without batches, which contains all budgets and turn heads. */
type UnbatchedHead = Omit<StoredSite, "turns"> & {
  readonly turns: readonly TurnHead[];
};

type BatchedHead = Omit<StoredSite, "turns" | "budgets"> & {
  readonly turnBatches: number;
  readonly budgetBatches: number;
};

/**
 * Serializes a site into parts that are created on demand. Inputs and outputs of
 * turns, which are nearly all of the state, are not copied: a store must not need
 * twice the memory of its state for a snapshot. Neither the site nor its turns
 * may change until the last part is created.
 *
 * @example
 * ```ts
 * const parts = [...encodeSiteSnapshot(stored)];
 * decodeSiteSnapshot(Buffer.concat(parts));
 * ```
 */
export function* encodeSiteSnapshot(site: StoredSite): Iterable<Uint8Array> {
  const { turns, budgets, ...rest } = site;
  const turnBatches = splitBatches(turns, TURNS_PER_BATCH);
  const budgetBatches = splitBatches(budgets, BUDGETS_PER_BATCH);
  const head: BatchedHead = {
    ...rest,
    turnBatches: turnBatches.length,
    budgetBatches: budgetBatches.length,
  };
  yield encodePrefixed(head, MARK_BIT);
  for (const batch of budgetBatches) yield encodePrefixed(batch);
  for (const batch of turnBatches) yield encodePrefixed(batch.map(toTurnHead));
  for (const turn of turns) {
    yield turn.input;
    yield turn.output;
  }
}

/** Decodes a snapshot of {@linkcode encodeSiteSnapshot} or of an earlier release. */
export function decodeSiteSnapshot(snapshot: Uint8Array): StoredSite {
  const bytes = Buffer.from(
    snapshot.buffer,
    snapshot.byteOffset,
    snapshot.length,
  );
  if ((bytes[0] ?? 0) >= FIRST_MAP_BYTE) return decode(bytes) as StoredSite;
  const reader = new PrefixedReader(bytes);
  if (!reader.isMarked) {
    const { turns, ...rest } = reader.readValue() as UnbatchedHead;
    return { ...rest, turns: readContents(reader, turns) };
  }
  const { turnBatches, budgetBatches, ...rest } = reader
    .readValue() as BatchedHead;
  const budgets = readBatches<StoredBudget>(reader, budgetBatches);
  const turns = readBatches<TurnHead>(reader, turnBatches);
  return { ...rest, budgets, turns: readContents(reader, turns) };
}

function readBatches<T>(
  reader: PrefixedReader,
  count: number,
): readonly T[] {
  const values: T[] = [];
  for (let batch = 0; batch < count; batch++) {
    values.push(...reader.readValue() as readonly T[]);
  }
  return values;
}

function readContents(
  reader: PrefixedReader,
  heads: readonly TurnHead[],
): readonly StoredTurn[] {
  return heads.map(({ inputBytes, outputBytes, ...turn }) => ({
    ...turn,
    input: reader.readBytes(inputBytes),
    output: reader.readBytes(outputBytes),
  }));
}

function toTurnHead(turn: StoredTurn): TurnHead {
  // Copies field by field, as spreading properties takes several times as long.
  const head = {
    turnId: turn.turnId,
    previousId: turn.previousId,
    upstream: turn.upstream,
    expiresAt: turn.expiresAt,
    inputBytes: turn.input.length,
    outputBytes: turn.output.length,
  };
  return turn.owner === undefined ? head : { ...head, owner: turn.owner };
}

/** The state of a site as bytes: a head, then inputs and outputs as they are. */

import { Buffer } from "node:buffer";
import { decode, encode } from "cbor-x";
import type { ReplaceDocument } from "@mallowlift/core";
import type { StoredBudget } from "./budgets.ts";
import type { StoredTurn } from "./turn_tree.ts";

/** Bytes of the number that tells how long the head is. */
const LENGTH_BYTES = 4;

/** Snapshots of the first release are one CBOR map; no head is as long as that. */
const FIRST_MAP_BYTE = 0xa0;

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

type SiteHead = Omit<StoredSite, "turns"> & {
  readonly turns: readonly TurnHead[];
};

/**
 * Serializes a site. Contents of turns make up nearly all of it, and stay the
 * memory that they are: a store must not need twice its state for a snapshot.
 *
 * @example
 * ```ts
 * const parts = encodeSiteSnapshot(stored);
 * decodeSiteSnapshot(Buffer.concat(parts));
 * ```
 */
export function encodeSiteSnapshot(site: StoredSite): readonly Uint8Array[] {
  const turns: TurnHead[] = [];
  const contents: Uint8Array[] = [];
  for (const { input, output, ...turn } of site.turns) {
    turns.push({
      ...turn,
      inputBytes: input.length,
      outputBytes: output.length,
    });
    contents.push(input, output);
  }
  const head: SiteHead = { ...site, turns };
  const encoded = Buffer.from(encode(head));
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(encoded.length);
  return [length, encoded, ...contents];
}

/** Reads what {@linkcode encodeSiteSnapshot} has written. */
export function decodeSiteSnapshot(snapshot: Uint8Array): StoredSite {
  const bytes = Buffer.from(
    snapshot.buffer,
    snapshot.byteOffset,
    snapshot.length,
  );
  if ((bytes[0] ?? 0) >= FIRST_MAP_BYTE) return decode(bytes) as StoredSite;
  let offset = LENGTH_BYTES + bytes.readUInt32BE(0);
  const head = decode(bytes.subarray(LENGTH_BYTES, offset)) as SiteHead;
  const take = (length: number) => bytes.subarray(offset, offset += length);
  const turns = head.turns.map(({ inputBytes, outputBytes, ...turn }) => ({
    ...turn,
    input: take(inputBytes),
    output: take(outputBytes),
  }));
  return { ...head, turns };
}

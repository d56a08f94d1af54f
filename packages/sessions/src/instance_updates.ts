/**
 * Creates, applies and packs updates of the instance list. An update is packed
 * once, and the same compressed bytes are sent to all gateways.
 */

import { Buffer } from "node:buffer";
import { constants, deflateRawSync, inflateRawSync } from "node:zlib";
import type { InstanceUpdate, UpstreamInstance } from "@mallowlift/core";
import { decode, encode } from "cbor-x";

/** Prefers speed over size: repeated keys are compressed well at any level. */
const COMPRESSION = { level: constants.Z_BEST_SPEED };

/** Instances by their ids. */
export type InstancesById = ReadonlyMap<string, UpstreamInstance>;

/**
 * Returns the difference between two lists; the full list if there is no base.
 *
 * @example
 * ```ts
 * const update = createUpdate({ revision: "2", instances }, undefined);
 * applyUpdate(new Map(), update); // the instances by their ids
 * ```
 */
export function createUpdate(
  next: { readonly revision: string; readonly instances: InstancesById },
  base:
    | { readonly revision: string; readonly instances: InstancesById }
    | undefined,
): InstanceUpdate {
  const known: InstancesById = base?.instances ?? new Map();
  const changed: UpstreamInstance[] = [];
  for (const [id, instance] of next.instances) {
    // Unchanged instances are the same objects, since reads reuse them.
    if (known.get(id) !== instance) changed.push(instance);
  }
  const removed = [...known.keys()].filter((id) => !next.instances.has(id));
  return {
    revision: next.revision,
    base: base?.revision ?? "",
    changed,
    removed,
  };
}

/** Returns the instances after an update of its base. */
export function applyUpdate(
  instances: InstancesById,
  update: InstanceUpdate,
): InstancesById {
  const next = new Map(update.base === "" ? [] : instances);
  for (const id of update.removed) next.delete(id);
  for (const instance of update.changed) next.set(instance.id, instance);
  return next;
}

/** Encodes and compresses an update. */
export function packUpdate(update: InstanceUpdate): Uint8Array {
  return deflateRawSync(encode(update), COMPRESSION);
}

/** Decodes an update; throws if the bytes are not a packed update. */
export function unpackUpdate(bytes: Uint8Array): InstanceUpdate {
  return decode(inflateRawSync(Buffer.from(bytes))) as InstanceUpdate;
}

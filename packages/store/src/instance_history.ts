/** Keeps the newest instance list and a few earlier revisions to compute updates from. */

import {
  hashText,
  type InstanceList,
  type UpstreamInstance,
} from "@mallowlift/core";
import {
  createUpdate,
  type InstancesById,
  packUpdate,
} from "@mallowlift/sessions";

/**
 * Revisions from which an incremental update can be computed: a gateway that is
 * a few changes behind need not be sent the full list.
 */
const MAX_KEPT_LISTS = 8;

interface KeptList {
  readonly revision: string;
  readonly instances: InstancesById;
}

/** Creates updates from the revision that a gateway has to the newest one. */
export class InstanceHistory {
  /** Newest first. */
  #lists: readonly KeptList[] = [];
  /** Cache of packed updates to the newest list, by their base revision. */
  readonly #packed = new Map<string, Uint8Array>();
  #list: InstanceList | undefined;

  /** The newest list. */
  get list(): InstanceList | undefined {
    return this.#list;
  }

  /** Replaces the newest list; returns false if nothing has changed. */
  replace(read: readonly UpstreamInstance[]): boolean {
    const before = this.#lists[0];
    const instances = reuseUnchanged(read, before?.instances ?? new Map());
    if (before !== undefined && isSame(instances, before.instances)) {
      return false;
    }
    const ordered = [...instances.values()];
    const revision = hashText(JSON.stringify(ordered));
    this.#list = { revision, instances: ordered };
    const kept = this.#lists.slice(0, MAX_KEPT_LISTS - 1);
    this.#lists = [{ revision, instances }, ...kept];
    this.#packed.clear();
    return true;
  }

  /** Drops all lists. */
  clear(): void {
    this.#lists = [];
    this.#packed.clear();
    this.#list = undefined;
  }

  /** True if a gateway with this revision must be sent the full list. */
  needsFullList(revision: string): boolean {
    return this.#lists.every((list) => list.revision !== revision);
  }

  /** Returns the packed changes since a revision; undefined if there are none. */
  findUpdate(revision: string): Uint8Array | undefined {
    const newest = this.#lists[0];
    if (newest === undefined || newest.revision === revision) return undefined;
    const base = this.#lists.find((list) => list.revision === revision);
    const key = base?.revision ?? "";
    const known = this.#packed.get(key);
    if (known !== undefined) return known;
    const packed = packUpdate(createUpdate(newest, base));
    this.#packed.set(key, packed);
    return packed;
  }
}

/** Sorts instances by id, and reuses the previous objects of unchanged ones. */
function reuseUnchanged(
  read: readonly UpstreamInstance[],
  before: InstancesById,
): InstancesById {
  const ordered = read.toSorted((left, right) => left.id < right.id ? -1 : 1);
  const instances = new Map<string, UpstreamInstance>();
  for (const instance of ordered) {
    const known = before.get(instance.id);
    const isKnown = known !== undefined && isEqual(known, instance);
    instances.set(instance.id, isKnown ? known : instance);
  }
  return instances;
}

function isSame(left: InstancesById, right: InstancesById): boolean {
  if (left.size !== right.size) return false;
  for (const [id, instance] of left) {
    if (right.get(id) !== instance) return false;
  }
  return true;
}

function isEqual(left: UpstreamInstance, right: UpstreamInstance): boolean {
  return left.service === right.service && left.address === right.address &&
    left.failureDomain === right.failureDomain && left.slots === right.slots &&
    left.leaving === right.leaving && left.ownId === right.ownId &&
    left.bornAt === right.bornAt;
}

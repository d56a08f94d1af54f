/**
 * Finds what was stored under another id of the same owner: a routing document that
 * gains or loses workspaces changes the scope of the ids that callers go on to use.
 */

import { hasScope, splitScopedId } from "@mallowlift/core";

/** Looks up the ids under which turns or programs are stored. */
export class FormerIds {
  readonly #items: ReadonlyMap<string, unknown>;
  #scopedCount = 0;
  /** Ids with a scope, by plain id; kept only while ids without one are looked up. */
  #byPlainId: Map<string, Set<string>> | undefined;

  /** @param items the stored items, by id */
  constructor(items: ReadonlyMap<string, unknown>) {
    this.#items = items;
  }

  /** Adds the id of an item that is stored now. */
  add(id: string): void {
    if (!hasScope(id)) return;
    this.#scopedCount++;
    if (this.#byPlainId !== undefined) addToIndex(this.#byPlainId, id);
  }

  /** Removes the id of an item that was stored. */
  delete(id: string): void {
    if (!hasScope(id)) return;
    this.#scopedCount--;
    if (this.#scopedCount === 0) this.#byPlainId = undefined;
    const { plainId } = splitScopedId(id);
    const ids = this.#byPlainId?.get(plainId);
    ids?.delete(id);
    if (ids?.size === 0) this.#byPlainId?.delete(plainId);
  }

  /** Removes all ids. */
  clear(): void {
    this.#scopedCount = 0;
    this.#byPlainId = undefined;
  }

  /**
   * Returns the former id of an item that is not stored under an id: for one with a
   * scope, the id without it; for one without, that of the only workspace that has such
   * an item. One workspace never gets what another one has stored.
   *
   * @example
   * ```ts
   * const ids = new FormerIds(new Map([["turn-7", turn]]));
   * ids.find("north\0turn-7"); // "turn-7"
   * ```
   */
  find(id: string): string | undefined {
    // Each first turn of a chain names no other one, and needs no index.
    if (id === "") return undefined;
    const { scope, plainId } = splitScopedId(id);
    if (scope !== "") return this.#items.has(plainId) ? plainId : undefined;
    if (this.#scopedCount === 0) return undefined;
    const candidates = this.#index().get(id);
    if (candidates?.size !== 1) return undefined;
    const [only] = candidates;
    return only;
  }

  #index(): Map<string, Set<string>> {
    if (this.#byPlainId !== undefined) return this.#byPlainId;
    const index = new Map<string, Set<string>>();
    for (const id of this.#items.keys()) {
      if (hasScope(id)) addToIndex(index, id);
    }
    this.#byPlainId = index;
    return index;
  }
}

function addToIndex(index: Map<string, Set<string>>, id: string): void {
  const { plainId } = splitScopedId(id);
  const ids = index.get(plainId);
  if (ids === undefined) index.set(plainId, new Set([id]));
  else ids.add(id);
}

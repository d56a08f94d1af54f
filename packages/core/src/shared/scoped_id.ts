/** Ids of turns and programs that begin with the scope of their owner. */

/** Cannot occur in an id or a name, because a header value cannot contain it. */
export const SCOPE_SEPARATOR = "\0";

/** An id in its parts. */
export interface ScopedId {
  /** Scope of the owner; empty on a site without workspaces. */
  readonly scope: string;
  /** The id as callers know it. */
  readonly plainId: string;
}

/**
 * Prefixes an id with a scope; an empty id refers to nothing and stays empty.
 *
 * @example
 * ```ts
 * scopeId("north\0", "turn-7"); // "north\0turn-7"
 * ```
 */
export function scopeId(scope: string, id: string): string {
  return id === "" ? "" : `${scope}${id}`;
}

/**
 * Splits an id into its scope and the id that callers know.
 *
 * @example
 * ```ts
 * splitScopedId("north\0turn-7"); // { scope: "north\0", plainId: "turn-7" }
 * splitScopedId("turn-7"); // { scope: "", plainId: "turn-7" }
 * ```
 */
export function splitScopedId(id: string): ScopedId {
  const start = id.indexOf(SCOPE_SEPARATOR) + SCOPE_SEPARATOR.length;
  if (start < SCOPE_SEPARATOR.length) return { scope: "", plainId: id };
  return { scope: id.slice(0, start), plainId: id.slice(start) };
}

/** True if an id belongs to a workspace, or to a caller without one beside them. */
export function hasScope(id: string): boolean {
  return id.includes(SCOPE_SEPARATOR);
}

/** Scopes the ids of turns and programs to their workspace. */

import {
  type RoutingDocument,
  SCOPE_SEPARATOR,
  type Workspace,
} from "@mallowlift/core";

/**
 * The prefix for the ids of a caller; empty on a site without workspaces.
 * Callers without a key have a scope of their own, so that they cannot refer to
 * turns or programs of a workspace.
 *
 * @example
 * ```ts
 * scopeId(findScope(document, workspace), "turn-7"); // "north\0turn-7"
 * ```
 */
export function findScope(
  document: RoutingDocument,
  workspace: Workspace | undefined,
): string {
  if (!hasWorkspaces(document)) return "";
  return `${workspace?.name ?? ""}${SCOPE_SEPARATOR}`;
}

/**
 * Whose share of a common room a request uses: the name of its workspace, empty
 * without a key; undefined on a site without workspaces, where none divides it.
 */
export function findOwner(
  document: RoutingDocument,
  workspace: Workspace | undefined,
): string | undefined {
  return hasWorkspaces(document) ? workspace?.name ?? "" : undefined;
}

/** True if the site has workspaces, so that routes that are not public need keys. */
export function hasWorkspaces(document: RoutingDocument): boolean {
  return document.workspaces !== undefined && document.workspaces.length > 0;
}

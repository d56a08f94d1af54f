/** Program ids, and the group that owns a program. */

import { createHash } from "node:crypto";

const ROOT_ID_LENGTH = 24;

/** What the id of a new program is derived from. */
export interface ProgramIdSource {
  readonly outfit: string;
  readonly requestId: string;
  /** Id of the parent program, for a child. */
  readonly parent?: string;
}

/**
 * Derives the id of a new program from its outfit and request id, so that a
 * resent request names the same program. A child carries the id of its root.
 *
 * @example
 * ```ts
 * deriveProgramId({ outfit: "north", requestId: "transect-7" });
 * // "p3f2..." : 25 characters
 * ```
 */
export function deriveProgramId(source: ProgramIdSource): string {
  const seed = JSON.stringify([
    source.outfit,
    source.requestId,
    source.parent ?? "",
  ]);
  const digest = createHash("sha256").update(seed).digest("hex");
  const own = digest.slice(0, ROOT_ID_LENGTH);
  if (source.parent === undefined) return `p${own}`;
  return `${findRootId(source.parent)}-${own}`;
}

/** Returns the id of the root program of a program. */
export function findRootId(programId: string): string {
  return programId.split("-", 1)[0] ?? programId;
}

/**
 * Returns the number of the group that owns a program. All programs below
 * one root share a group, so that they can draw on one budget.
 *
 * @example
 * ```ts
 * findProgramGroup("p3f2", 4); // 1, 2, 3 or 4; group 0 is the configuration
 * ```
 */
export function findProgramGroup(programId: string, groups: number): number {
  const digest = createHash("sha256").update(findRootId(programId)).digest();
  return 1 + (digest.readUInt32BE(0) % groups);
}

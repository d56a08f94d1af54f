/** Derives the ids of programs and the groups that own them. */

import { createHash } from "node:crypto";

const ROOT_ID_LENGTH = 24;

/** Values from which the id of a new program is derived. */
export interface ProgramIdSource {
  readonly outfit: string;
  readonly requestId: string;
  /** Id of the parent program; missing for a root program. */
  readonly parent?: string;
}

/**
 * Derives the id of a new program from its outfit, request id and parent, so
 * that a request that is sent again gets the same id. The id of a child starts
 * with the id of its root.
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
 * Returns the number of the group that owns a program. All descendants of a
 * root belong to its group, so that they can share one budget.
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

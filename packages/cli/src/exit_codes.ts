/** Exit codes of mallowctl. */

import { RESULT_CODES } from "@mallowlift/core";

/** What a script can tell from the exit code. */
export const EXIT_CODES = {
  OK: 0,
  /** The request was refused or failed. */
  REFUSED: 1,
  /** The command line is wrong. */
  USAGE: 2,
  /** Somebody else changed the resource first. */
  CONFLICT: 3,
  /** There is no such resource. */
  NOT_FOUND: 4,
  /** No entry answered. */
  UNREACHABLE: 5,
} as const;

/** One of {@linkcode EXIT_CODES}. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

/**
 * Returns the exit code for a result code.
 *
 * @example
 * ```ts
 * findExitCode(1007); // 3, a conflict of versions
 * ```
 */
export function findExitCode(resultCode: number): ExitCode {
  if (resultCode === RESULT_CODES.OK.number) return EXIT_CODES.OK;
  if (resultCode === RESULT_CODES.VERSION_CONFLICT.number) {
    return EXIT_CODES.CONFLICT;
  }
  if (resultCode === RESULT_CODES.RESOURCE_NOT_FOUND.number) {
    return EXIT_CODES.NOT_FOUND;
  }
  return EXIT_CODES.REFUSED;
}

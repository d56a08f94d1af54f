/** Exit codes of mallowctl. */

import { RESULT_CODES } from "@mallowlift/core";

/** Exit codes that scripts can rely on. */
export const EXIT_CODES = {
  OK: 0,
  /** The request was refused or failed. */
  REFUSED: 1,
  /** The command line or a file that it names is invalid. */
  USAGE: 2,
  /** The resource does not have the expected version. */
  CONFLICT: 3,
  /** The resource does not exist. */
  NOT_FOUND: 4,
  /** No response came from the entry. */
  UNREACHABLE: 5,
} as const;

/** One of {@linkcode EXIT_CODES}. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];

/**
 * Returns the exit code for a result code.
 *
 * @example
 * ```ts
 * findExitCode(1007); // 3, a version conflict
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

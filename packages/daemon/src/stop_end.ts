/** Finds when a daemon that was asked to stop must have stopped. */

import type { Settings } from "@mallowlift/core";

/**
 * Time reserved for the last steps of a stop before the process is killed, ms.
 */
const KILL_MARGIN_MILLISECONDS = 1_200;

/**
 * Returns the end of a stop that all roles share, by the clock of
 * `requestedAt`, ms.
 *
 * @example
 * ```ts
 * findStopEnd({ stopMilliseconds: 60_000, killSeconds: 8 }, 1_000); // 7_800
 * ```
 */
export function findStopEnd(
  settings: Pick<Settings["daemon"], "stopMilliseconds" | "killSeconds">,
  requestedAt: number,
): number {
  const { stopMilliseconds, killSeconds } = settings;
  if (killSeconds === 0) return requestedAt + stopMilliseconds;
  const untilKill = killSeconds * 1_000 - KILL_MARGIN_MILLISECONDS;
  return requestedAt + Math.max(0, Math.min(stopMilliseconds, untilKill));
}

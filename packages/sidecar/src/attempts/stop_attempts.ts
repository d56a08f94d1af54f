/** Ends the attempts of a sidecar that stops. */

import { performance } from "node:perf_hooks";
import { findFinalAnswersStart, sleep } from "@mallowlift/core";
import type { AttemptTable } from "./attempt_table.ts";

const POLL_MILLISECONDS = 20;

/**
 * Ends queued attempts at once, so that their owners place them elsewhere, waits
 * for running ones, and aborts those that still run shortly before the end.
 *
 * @param endAt monotonic, ms
 */
export async function stopAttempts(
  table: AttemptTable,
  endAt: number,
): Promise<void> {
  const answerAt = findFinalAnswersStart(performance.now(), endAt);
  table.setDraining(true);
  table.releaseQueued();
  await waitUntilEnded(table, answerAt);
  table.abortRunning();
  await waitUntilEnded(table, endAt);
}

async function waitUntilEnded(
  table: AttemptTable,
  until: number,
): Promise<void> {
  while (table.pendingCount > 0 && performance.now() < until) {
    await sleep(POLL_MILLISECONDS);
  }
}

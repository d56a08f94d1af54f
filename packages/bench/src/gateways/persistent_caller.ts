/** Repeats a call as a caller does that comes back when it is told. */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallResult } from "./gateway_caller.ts";

/** Number of attempts that a caller makes at a call. */
export const ATTEMPTS = 3;
/** Delay before a retry if the answer has no retry-after header, ms. */
const RETRY_MILLISECONDS = 250;

/** Outcome of a call and of its attempts. */
export interface PersistentCall {
  /** The attempt that was served in full, from 1; undefined if none was. */
  readonly servedAttempt: number | undefined;
  /** Status and time of each attempt, such as "503 after 40 ms". */
  readonly attempts: readonly string[];
}

/**
 * Attempts a call until it is served in full, at most {@linkcode ATTEMPTS} times.
 *
 * @example
 * ```ts
 * await callUntilServed((attempt) => callGateway(url, { callId: `a-${attempt}`, path }));
 * ```
 */
export async function callUntilServed(
  callOnce: (attempt: number) => Promise<CallResult>,
): Promise<PersistentCall> {
  const attempts: string[] = [];
  for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
    const startedAt = performance.now();
    const result = await callOnce(attempt);
    const milliseconds = Math.round(performance.now() - startedAt);
    const truncation = result.whole ? "" : ", cut";
    attempts.push(`${result.status}${truncation} after ${milliseconds} ms`);
    if (result.status === 200 && result.whole) {
      return { servedAttempt: attempt, attempts };
    }
    const waitMilliseconds = Number(result.retryAfter ?? 0) * 1_000;
    if (attempt < ATTEMPTS) await sleep(waitMilliseconds || RETRY_MILLISECONDS);
  }
  return { servedAttempt: undefined, attempts };
}

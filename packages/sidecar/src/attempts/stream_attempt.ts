/** Streams the text of an attempt to an entry as the upstream produces it. */

import {
  type AttachRequest,
  fail,
  type Outcome,
  RESULT_CODES,
  sleep,
  type TextChunk,
} from "@mallowlift/core";
import type { CallContext } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { AttemptTable } from "./attempt_table.ts";

const ARRIVAL_TIMEOUT_MILLISECONDS = 2_000;
const POLL_INTERVAL_MILLISECONDS = 5;
const PROGRESS_TIMEOUT_MILLISECONDS = 5_000;

/** Streams chunks until the attempt ends or the entry disconnects. */
export async function streamAttempt(
  table: AttemptTable,
  request: AttachRequest,
  context: CallContext<TextChunk>,
): Promise<Outcome<Record<string, never>>> {
  const attempt = await waitForAttempt(table, request);
  if (attempt === undefined) {
    return fail(
      RESULT_CODES.UNKNOWN_ATTEMPT,
      "The attempt is unknown at this sidecar",
    );
  }
  let offset = request.offset;
  while (!context.signal.aborted) {
    if (attempt.text.length > offset) {
      context.sendChunk({ offset, text: attempt.text.slice(offset) });
      offset = attempt.text.length;
    }
    if (attempt.outcome !== undefined) return Ok({});
    await attempt.waitForProgress(PROGRESS_TIMEOUT_MILLISECONDS);
  }
  return fail(RESULT_CODES.CANCELLED, "The entry disconnected");
}

/** Waits for an attempt: an entry may attach before the dispatch arrives. */
async function waitForAttempt(table: AttemptTable, request: AttachRequest) {
  let attempt = table.find(request.key);
  for (
    let waitedMilliseconds = 0;
    attempt === undefined && waitedMilliseconds < ARRIVAL_TIMEOUT_MILLISECONDS;
  ) {
    await sleep(POLL_INTERVAL_MILLISECONDS);
    waitedMilliseconds += POLL_INTERVAL_MILLISECONDS;
    attempt = table.find(request.key);
  }
  return attempt;
}

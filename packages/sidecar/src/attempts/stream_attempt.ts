/** Sends the text of an attempt to an entry as it grows. */

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

const ARRIVAL_MILLISECONDS = 2_000;
const LOOK_MILLISECONDS = 5;
const GROWTH_MILLISECONDS = 5_000;

/** Streams until the attempt has ended or the entry goes away. */
export async function streamAttempt(
  table: AttemptTable,
  request: AttachRequest,
  context: CallContext<TextChunk>,
): Promise<Outcome<Record<string, never>>> {
  const attempt = await findArriving(table, request);
  if (attempt === undefined) {
    return fail(RESULT_CODES.UNKNOWN_ATTEMPT, "The attempt is not known here");
  }
  let offset = request.offset;
  while (!context.signal.aborted) {
    if (attempt.text.length > offset) {
      context.sendChunk({ offset, text: attempt.text.slice(offset) });
      offset = attempt.text.length;
    }
    if (attempt.outcome !== undefined) return Ok({});
    await attempt.waitForGrowth(GROWTH_MILLISECONDS);
  }
  return fail(RESULT_CODES.CANCELLED, "The entry went away");
}

/** The entry may hear of an attempt before its dispatch has arrived here. */
async function findArriving(table: AttemptTable, request: AttachRequest) {
  let attempt = table.find(request.key);
  for (
    let waited = 0;
    attempt === undefined && waited < ARRIVAL_MILLISECONDS;
  ) {
    await sleep(LOOK_MILLISECONDS);
    waited += LOOK_MILLISECONDS;
    attempt = table.find(request.key);
  }
  return attempt;
}

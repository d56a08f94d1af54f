/** The work behind the operators' routes of the whole site: watch and status. */

import { PassThrough } from "node:stream";
import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  ABORTED,
  type ConfigurationUpdate,
  RESULT_CODES,
} from "@mallowlift/core";
import type { EntryParts } from "../entry_parts.ts";
import {
  answerError,
  answerValue,
  createErrorBody,
  refuse,
} from "../http/answer.ts";
import { checkOperator } from "./check_operator.ts";
import { collectStatus } from "./collect_status.ts";
import { pollConfiguration } from "./poll_configuration.ts";

/** How long the owner holds a request for changes, ms; a sign of life comes as often. */
const WATCH_HOLD_MILLISECONDS = 5_000;

/** Streams every change after a revision. */
export async function watchResources(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const allowed = checkOperator(parts, request);
  if (allowed.err) return refuse(parts, toolkit, allowed.val);
  const from = Number(request.query.from_revision ?? 0);
  if (!Number.isSafeInteger(from) || from < 0) {
    const message = "Not allowed: from_revision must be a whole number from 0";
    return refuse(parts, toolkit, {
      code: RESULT_CODES.INVALID_FIELD,
      message,
    });
  }
  const first = await pollConfiguration(parts, from, 0);
  if (first.err) return answerError(toolkit, first.val, "owner");
  if (first.val.whole) {
    const message =
      "Changes after this revision are no longer all kept; list and watch again";
    return refuse(parts, toolkit, {
      code: RESULT_CODES.REVISION_GONE,
      message,
    });
  }
  const output = new PassThrough();
  const gone = new AbortController();
  request.raw.res.once("close", () => gone.abort(ABORTED));
  void sendChanges(parts, { first: first.val, output, signal: gone.signal });
  return toolkit.response(output).type("text/event-stream").header(
    "cache-control",
    "no-cache",
  );
}

/** Describes the whole site. */
export async function readStatus(
  parts: EntryParts,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const allowed = checkOperator(parts, request);
  if (allowed.err) return refuse(parts, toolkit, allowed.val);
  return answerValue(toolkit, await collectStatus(parts));
}

async function sendChanges(
  parts: EntryParts,
  options: {
    readonly first: ConfigurationUpdate;
    readonly output: PassThrough;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { output, signal } = options;
  let update = options.first;
  let revision = update.revision;
  for (;;) {
    for (const change of update.changes) {
      output.write(`data: ${JSON.stringify(change)}\n\n`);
    }
    // A comment shows the watcher that the stream is alive.
    if (update.changes.length === 0) {
      output.write(`: revision ${update.revision}\n\n`);
    }
    revision = update.revision;
    if (signal.aborted || parts.isDraining()) break;
    const next = await pollConfiguration(
      parts,
      revision,
      WATCH_HOLD_MILLISECONDS,
    );
    if (next.err) {
      output.write(
        `data: ${JSON.stringify(createErrorBody(next.val, "owner"))}\n\n`,
      );
      break;
    }
    update = next.val;
  }
  output.end();
}

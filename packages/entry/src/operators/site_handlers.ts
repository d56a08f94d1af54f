/** Handlers of the operators' routes that watch resources and read the status. */

import { PassThrough } from "node:stream";
import type { Request, ResponseObject, ResponseToolkit } from "@hapi/hapi";
import {
  ABORTED,
  type ConfigurationUpdate,
  RESULT_CODES,
} from "@mallowlift/core";
import type { EntryContext } from "../entry_context.ts";
import { answerValue, createErrorBody, refuse } from "../http/answer.ts";
import { answerOwnerError } from "../callers/run_call.ts";
import { checkOperator } from "./check_operator.ts";
import { collectStatus } from "./collect_status.ts";
import { pollConfiguration } from "./poll_configuration.ts";

/** Longest time that the owner holds a poll, ms; also the keep-alive interval. */
const POLL_HOLD_MILLISECONDS = 5_000;

/** Streams every change after a revision as server-sent events. */
export async function watchResources(
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const allowed = checkOperator(context, request);
  if (allowed.err) return refuse(context, toolkit, allowed.val);
  const from = Number(request.query.from_revision ?? 0);
  if (!Number.isSafeInteger(from) || from < 0) {
    const message =
      "Query parameter from_revision must be an integer of at least 0";
    return refuse(context, toolkit, {
      code: RESULT_CODES.INVALID_FIELD,
      message,
    });
  }
  const signal = context.requests.getSignal(request);
  const poll = { revision: from, holdMilliseconds: 0, signal };
  const first = await pollConfiguration(context, poll);
  if (first.err) {
    return answerOwnerError(context, { request, toolkit, error: first.val });
  }
  if (first.val.whole) {
    const message =
      "Some changes after this revision were discarded; list the resources and watch again";
    return refuse(context, toolkit, {
      code: RESULT_CODES.REVISION_GONE,
      message,
    });
  }
  const output = new PassThrough();
  const ended = new AbortController();
  const end = () => ended.abort(ABORTED);
  for (const source of [signal, context.drainSignal]) {
    source.addEventListener("abort", end, { once: true });
    if (source.aborted) end();
  }
  const sending = sendChanges(context, {
    first: first.val,
    output,
    signal: ended.signal,
  });
  void sending.then(() =>
    context.drainSignal.removeEventListener("abort", end)
  );
  return toolkit.response(output).type("text/event-stream").header(
    "cache-control",
    "no-cache",
  );
}

/** Answers with the status of the whole site. */
export async function readStatus(
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
): Promise<ResponseObject> {
  const allowed = checkOperator(context, request);
  if (allowed.err) return refuse(context, toolkit, allowed.val);
  return answerValue(
    toolkit,
    await collectStatus(context, context.requests.getSignal(request)),
  );
}

async function sendChanges(
  context: EntryContext,
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
    // A comment line shows the watcher that the stream is alive.
    if (update.changes.length === 0) {
      output.write(`: revision ${update.revision}\n\n`);
    }
    revision = update.revision;
    if (signal.aborted) break;
    const next = await pollConfiguration(context, {
      revision,
      holdMilliseconds: POLL_HOLD_MILLISECONDS,
      signal,
    });
    if (signal.aborted) break;
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

/** Request handlers of the sidecar role. */

import type { HandlerTable } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { AttemptTable } from "./attempts/attempt_table.ts";
import { streamAttempt } from "./attempts/stream_attempt.ts";
import type { UpstreamClient } from "./upstream/upstream_client.ts";

/** Creates the handlers for requests from owners and entries. */
export function createSidecarHandlers(
  table: AttemptTable,
  upstream: UpstreamClient,
): HandlerTable {
  return {
    "attempts.dispatch": (request) => table.dispatch(request, Date.now()),
    "attempts.recover": (request) =>
      Promise.resolve(table.recover(request, Date.now())),
    "attempts.await": (request) => table.waitForEnd(request),
    "attempts.cancel": (request) =>
      Promise.resolve(table.cancel(request, Date.now())),
    "attempts.attach": (request, context) =>
      streamAttempt(table, request, context),
    "cache.release": async (request) => {
      await upstream.releaseSession(request.programId);
      return Ok({});
    },
  };
}

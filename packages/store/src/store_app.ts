/** Creates the handlers that a store serves to gateways. */

import { performance } from "node:perf_hooks";
import type { HandlerTable } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { InstanceReader } from "./instance_reader.ts";
import type { RequestContext } from "./request_context.ts";
import { RequestQueue } from "./request_queue.ts";
import type { SiteOwner } from "./site_owner.ts";

/**
 * Binds the handlers to the owner, which requires leadership, and to the reader,
 * which does not.
 */
export function createStoreHandlers(
  owner: SiteOwner,
  reader: InstanceReader,
): HandlerTable {
  const queue = new RequestQueue();
  return {
    "site.follow": (request, { signal }) =>
      owner.followers.follow(request, signal),
    "instances.read": async (request) => Ok(await reader.answer(request)),
    "document.put": (request, { signal }) =>
      owner.documents.putPart(request, signal),
    "document.read": (request) => owner.readDocumentPart(request),
    "document.newest": (_request, { signal }) =>
      owner.documents.findNewest(signal),
    "site.retire": (request, { signal }) =>
      owner.retirements.retire(request, signal),
    "site.retirement": (request, { signal }) =>
      owner.retirements.getState(request, signal),
    "turns.begin": (request, context) =>
      runInTurn(queue, context, (caller) => owner.begin(request, caller)),
    "turns.end": (request, context) =>
      runInTurn(queue, context, (caller) => owner.end(request, caller)),
    "quota.take": (request, context) =>
      runInTurn(queue, context, (caller) => owner.takePermits(request, caller)),
  };
}

/** Handles a request when its turn comes; its wait until then adds to its age. */
function runInTurn<T>(
  queue: RequestQueue,
  context: RequestContext,
  handle: (caller: RequestContext) => Promise<T>,
): Promise<T> {
  const { signal, deadlineAt } = context;
  const sentAt = performance.now() - context.ageMilliseconds;
  return queue.run(() =>
    handle({
      signal,
      deadlineAt,
      ageMilliseconds: performance.now() - sentAt,
    })
  );
}

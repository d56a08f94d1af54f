/** Creates the handlers that a store serves to gateways. */

import { performance } from "node:perf_hooks";
import type { Outcome } from "@mallowlift/core";
import { type HandlerTable, RequestQueue } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { InstanceReader } from "./instance_reader.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestedCommand } from "./requested_command.ts";
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
      runInTurn({ kind: "begin", ...request }, context, {
        queue,
        owner,
        handle: () => owner.begin(request, context),
      }),
    "turns.end": (request, context) =>
      runInTurn({ kind: "end", ...request }, context, {
        queue,
        owner,
        handle: () => owner.end(request, context.signal),
      }),
    "quota.take": (request, context) =>
      runInTurn({ kind: "charge", ...request }, context, {
        queue,
        owner,
        handle: () => owner.takePermits(request, context.signal),
      }),
  };
}

/**
 * Refuses or handles a request when its turn comes; its wait until then adds to its age.
 * What is known not to be served is refused on arrival.
 */
function runInTurn<T>(
  command: RequestedCommand,
  context: RequestContext,
  parts: {
    readonly queue: RequestQueue;
    readonly owner: SiteOwner;
    readonly handle: () => Promise<Outcome<T>>;
  },
): Promise<Outcome<T>> {
  const { queue, owner, handle } = parts;
  const { signal, deadlineAt } = context;
  const now = performance.now();
  const sentAt = now - context.ageMilliseconds;
  const order = owner.findQueueOrder(command);
  const waitMilliseconds = queue.findWait(order, now);
  const refusal = owner.refuseOnArrival(command, {
    leftMilliseconds: deadlineAt - now,
    waitMilliseconds,
  });
  if (refusal !== undefined) return Promise.resolve(refusal);
  const refuse = () =>
    owner.refuseInTurn(command, {
      signal,
      deadlineAt,
      ageMilliseconds: performance.now() - sentAt,
    });
  return queue.run(handle, refuse, { order });
}

/** Creates the handlers that a store serves to gateways. */

import type { HandlerTable } from "@mallowlift/transport";
import { Ok } from "ts-results";
import type { InstanceReader } from "./instance_reader.ts";
import type { SiteOwner } from "./site_owner.ts";

/**
 * Binds the handlers to the owner, which requires leadership, and to the reader,
 * which does not.
 */
export function createStoreHandlers(
  owner: SiteOwner,
  reader: InstanceReader,
): HandlerTable {
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
    "turns.begin": (request, context) => owner.begin(request, context),
    "turns.end": (request, context) => owner.end(request, context),
    "quota.take": (request, context) => owner.takePermits(request, context),
  };
}

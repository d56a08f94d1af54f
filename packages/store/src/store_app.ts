/** The handlers that a store serves to gateways. */

import type { HandlerTable } from "@mallowlift/transport";
import type { SiteOwner } from "./site_owner.ts";

/** Binds the handlers to the owner. */
export function createStoreHandlers(owner: SiteOwner): HandlerTable {
  return {
    "site.follow": (request, { signal }) => owner.follow(request, signal),
    "site.replace": (request, { signal }) => owner.replace(request, signal),
    "site.read": (_request, { signal }) => owner.read(signal),
    "site.retire": (request, { signal }) => owner.retire(request, signal),
    "site.retirement": (request, { signal }) =>
      owner.describeRetirement(request, signal),
    "turns.begin": (request, { signal }) => owner.begin(request, signal),
    "turns.end": (request, { signal }) => owner.end(request, signal),
  };
}

/** The handlers that a store serves to gateways. */

import type { HandlerTable } from "@mallowlift/transport";
import type { SiteOwner } from "./site_owner.ts";

/** Binds the handlers to the owner. */
export function createStoreHandlers(owner: SiteOwner): HandlerTable {
  return {
    "site.follow": (request, { signal }) => owner.follow(request, signal),
    "site.replace": (request) => owner.replace(request),
    "site.read": () => owner.read(),
    "site.retire": (request) => owner.retire(request),
    "site.retirement": (request) => owner.describeRetirement(request),
    "turns.begin": (request) => owner.begin(request),
    "turns.end": (request) => owner.end(request),
  };
}

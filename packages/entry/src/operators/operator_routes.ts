/** Routes of the HTTP interface for operators. */

import type { ServerRoute } from "@hapi/hapi";
import type { EntryContext } from "../entry_context.ts";
import { createRoute } from "../http/serve_route.ts";
import {
  deleteResource,
  getResource,
  listResources,
  putResource,
} from "./resource_handlers.ts";
import { readStatus, watchResources } from "./site_handlers.ts";

/** Creates the routes that operators use. */
export function createOperatorRoutes(
  context: EntryContext,
): readonly ServerRoute[] {
  const resource = "/v1/resources/{kind}/{name}";
  const routes = [
    {
      method: "GET",
      path: "/v1/resources/{kind}",
      handler: listResources,
    },
    { method: "GET", path: resource, handler: getResource },
    { method: "PUT", path: resource, handler: putResource },
    { method: "DELETE", path: resource, handler: deleteResource },
    { method: "GET", path: "/v1/watch", handler: watchResources },
    { method: "GET", path: "/v1/status", handler: readStatus },
  ] as const;
  return routes.map((route) => createRoute(context, route));
}

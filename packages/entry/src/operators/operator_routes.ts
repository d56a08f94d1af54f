/** Routes of the HTTP interface for operators. */

import type { Request, ResponseToolkit, ServerRoute } from "@hapi/hapi";
import type { EntryContext } from "../entry_context.ts";
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
  const serve =
    (handler: typeof getResource) =>
    (request: Request, toolkit: ResponseToolkit) =>
      handler(context, request, toolkit);
  const resource = "/v1/resources/{kind}/{name}";
  return [
    {
      method: "GET",
      path: "/v1/resources/{kind}",
      handler: serve(listResources),
    },
    { method: "GET", path: resource, handler: serve(getResource) },
    { method: "PUT", path: resource, handler: serve(putResource) },
    { method: "DELETE", path: resource, handler: serve(deleteResource) },
    { method: "GET", path: "/v1/watch", handler: serve(watchResources) },
    { method: "GET", path: "/v1/status", handler: serve(readStatus) },
  ];
}

/** Routes of the HTTP interface for callers. */

import type { ServerRoute } from "@hapi/hapi";
import type { EntryContext } from "../entry_context.ts";
import { createRoute } from "../http/serve_route.ts";
import { callModel, callService } from "./call_handlers.ts";
import {
  createChild,
  createProgram,
  endProgram,
  readHistory,
  readProgram,
} from "./program_handlers.ts";

/** Creates the routes that callers use. */
export function createCallerRoutes(
  context: EntryContext,
): readonly ServerRoute[] {
  const program = "/v1/programs/{program}";
  const routes = [
    { method: "POST", path: "/v1/programs", handler: createProgram },
    { method: "GET", path: program, handler: readProgram },
    { method: "DELETE", path: program, handler: endProgram },
    {
      method: "POST",
      path: `${program}/children`,
      handler: createChild,
    },
    { method: "GET", path: `${program}/history`, handler: readHistory },
    {
      method: "POST",
      path: `${program}/chat/completions`,
      handler: callModel,
    },
    {
      method: "POST",
      path: `${program}/services/{service}`,
      handler: callService,
    },
  ] as const;
  return routes.map((route) => createRoute(context, route));
}

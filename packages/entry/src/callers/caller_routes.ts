/** Routes of the HTTP interface for callers. */

import type { Request, ResponseToolkit, ServerRoute } from "@hapi/hapi";
import type { EntryContext } from "../entry_context.ts";
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
  const serve =
    (handler: typeof createProgram | typeof callModel) =>
    (request: Request, toolkit: ResponseToolkit) =>
      handler(context, request, toolkit);
  const program = "/v1/programs/{program}";
  return [
    { method: "POST", path: "/v1/programs", handler: serve(createProgram) },
    { method: "GET", path: program, handler: serve(readProgram) },
    { method: "DELETE", path: program, handler: serve(endProgram) },
    {
      method: "POST",
      path: `${program}/children`,
      handler: serve(createChild),
    },
    { method: "GET", path: `${program}/history`, handler: serve(readHistory) },
    {
      method: "POST",
      path: `${program}/chat/completions`,
      handler: serve(callModel),
    },
    {
      method: "POST",
      path: `${program}/services/{service}`,
      handler: serve(callService),
    },
  ];
}

/** Runs the handlers of routes; a stopping entry refuses each request whole. */

import { performance } from "node:perf_hooks";
import type {
  Request,
  ResponseObject,
  ResponseToolkit,
  RouteOptions,
  ServerRoute,
} from "@hapi/hapi";
import type { EntryContext } from "../entry_context.ts";
import { refuse } from "./answer.ts";
import { DRAINING_ERROR } from "./open_requests.ts";
import { discardBody, readBody } from "./read_body.ts";

/** Handles a request whose body has been read. */
export type RouteHandler = (
  context: EntryContext,
  request: Request,
  toolkit: ResponseToolkit,
) => Promise<ResponseObject | symbol>;

/** Options of a route with a body, which is read here before its handler runs. */
const BODY_OPTIONS: RouteOptions = {
  payload: { output: "stream", parse: "gunzip" },
};

/** Creates a route whose requests a stop refuses or answers. */
export function createRoute(
  context: EntryContext,
  route: {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly handler: RouteHandler;
  },
): ServerRoute {
  const { method, path } = route;
  const handler = serveRequest(context, route.handler);
  return method === "GET"
    ? { method, path, handler }
    : { method, path, handler, options: BODY_OPTIONS };
}

/**
 * Returns the handler that the HTTP library calls: it refuses the request if
 * this entry stops, and otherwise keeps it among the open ones.
 */
function serveRequest(
  context: EntryContext,
  handler: RouteHandler,
): (
  request: Request,
  toolkit: ResponseToolkit,
) => Promise<ResponseObject | symbol> {
  return async (request, toolkit) => {
    if (context.isDraining()) {
      await discardBody(request);
      return refuse(context, toolkit, DRAINING_ERROR);
    }
    context.requests.add(request, performance.now());
    const body = await readBody(context, request);
    if (body.err) {
      context.requests.reportStopped(request, body.val);
      await discardBody(request, context.requests.getSignal(request));
      return refuse(context, toolkit, body.val);
    }
    // The library's type does not allow for a body that is read by a handler.
    (request as { payload: unknown }).payload = body.val;
    try {
      return await handler(context, request, toolkit);
    } catch (thrown) {
      if (!request.raw.res.headersSent) throw thrown;
      // The library would end a stream that has begun as if it were complete.
      const message = thrown instanceof Error ? thrown.message : String(thrown);
      context.logger.error("Stream failed with an internal error", { message });
      request.raw.res.destroy();
      return toolkit.abandon;
    }
  };
}

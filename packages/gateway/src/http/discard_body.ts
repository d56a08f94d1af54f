/** Discards the bodies of requests that are refused. */

import type { IncomingMessage } from "node:http";

/**
 * Reads the rest of a request and discards it. Resolves when the request is
 * complete or its caller has left: a connection that is closed with unread bytes
 * is reset, and the caller would lose the answer.
 */
export function discardBody(request: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    if (request.complete || request.destroyed) return resolve();
    for (const event of ["end", "error", "close"]) request.on(event, resolve);
    request.resume();
  });
}

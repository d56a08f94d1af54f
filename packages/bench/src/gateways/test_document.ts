/** Creates routing documents for the gateway tests. */

import type { RoutingDocument } from "@mallowlift/core";

const ROUTE = {
  host: "a.example",
  targets: [{ service: "s", weight: 1 }],
  timeoutMilliseconds: 20_000,
  targetMilliseconds: 200,
  priority: 1,
  maxAttempts: 2,
  keepsHistory: false,
  retentionMilliseconds: 0,
  prefersSameUpstream: false,
};

/** Number of hosts among which added routes are distributed. */
const ADDED_HOSTS = 97;

/** Routes for reads, writes and streams, each with its own path prefix. */
export const TEST_DOCUMENT: RoutingDocument = {
  version: 1,
  routes: [
    { ...ROUTE, name: "read", pathPrefix: "/read/", kind: "idempotent" },
    { ...ROUTE, name: "write", pathPrefix: "/write/", kind: "once" },
    {
      ...ROUTE,
      name: "stream",
      pathPrefix: "/stream/",
      kind: "stream",
      keepsHistory: true,
      retentionMilliseconds: 600_000,
    },
    {
      ...ROUTE,
      name: "resumable",
      pathPrefix: "/resumable-stream/",
      kind: "stream",
      isResumable: true,
    },
  ],
  services: [{
    name: "s",
    maxConnections: 100,
    tokensPerEvent: 2,
    isEngine: true,
  }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_048_576,
    headerTimeoutMilliseconds: 3_000,
    idleTimeoutMilliseconds: 15_000,
  },
};

/**
 * Returns a copy of a document with `count` more routes, each with its own path
 * prefix and two targets.
 *
 * @example
 * ```ts
 * addRoutes({ ...TEST_DOCUMENT, version: 2 }, 1_400).routes.length; // 1404
 * ```
 */
export function addRoutes(
  document: RoutingDocument,
  count: number,
): RoutingDocument {
  const added = Array.from({ length: count }, (_, number) => ({
    ...ROUTE,
    ...findAddedPlace(number),
    name: `added-${number}`,
    kind: "idempotent" as const,
    targets: [{ service: "s", weight: 90 }, { service: "s", weight: 10 }],
  }));
  return { ...document, routes: [...document.routes, ...added] };
}

/** Returns host and path prefix of a route that {@linkcode addRoutes} adds. */
export function findAddedPlace(
  number: number,
): { readonly host: string; readonly pathPrefix: string } {
  return {
    host: `h${number % ADDED_HOSTS}.example`,
    pathPrefix: `/added/${number}/`,
  };
}

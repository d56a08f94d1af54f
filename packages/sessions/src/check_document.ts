/** Validates routing documents before they are put in force. */

import {
  fail,
  type Outcome,
  RESULT_CODES,
  type Route,
  type RoutingDocument,
  type Workspace,
} from "@mallowlift/core";
import { Ok } from "ts-results";

const DIGEST = /^[0-9a-f]{64}$/;

/**
 * Returns the document, or the first error in it.
 *
 * @example
 * ```ts
 * const checked = checkDocument(document);
 * if (checked.err) throw new Error(checked.val.message);
 * ```
 */
export function checkDocument(
  document: RoutingDocument,
): Outcome<RoutingDocument> {
  if (!Number.isSafeInteger(document.version) || document.version < 0) {
    return refuse("The version must be a non-negative integer");
  }
  const services = new Set<string>();
  for (const service of document.services) {
    if (services.has(service.name)) {
      return refuse(`Service ${service.name} is listed twice`);
    }
    services.add(service.name);
  }
  const matchKeys = new Set<string>();
  for (const route of document.routes) {
    const error = findRouteError(route, services);
    if (error !== undefined) return refuse(`Route ${route.name}: ${error}`);
    const matchKey = `${route.host} ${route.pathPrefix}`;
    if (matchKeys.has(matchKey)) {
      return refuse(
        `Route ${route.name}: another route has this host and prefix`,
      );
    }
    matchKeys.add(matchKey);
  }
  const error = findWorkspaceError(document.workspaces ?? []);
  return error === undefined ? Ok(document) : refuse(error);
}

/** Returns the first error; the text never contains a key or its digest. */
function findWorkspaceError(
  workspaces: readonly Workspace[],
): string | undefined {
  const names = new Set<string>();
  const owners = new Map<string, string>();
  for (const workspace of workspaces) {
    const { name, keyDigests } = workspace;
    if (typeof name !== "string" || name === "") {
      return "A workspace has no name";
    }
    if (names.has(name)) return `Workspace ${name} is listed twice`;
    names.add(name);
    const error = findQuotaError(workspace);
    if (error !== undefined) return `Workspace ${name}: ${error}`;
    if (!Array.isArray(keyDigests)) return `Workspace ${name}: no list of keys`;
    for (const digest of keyDigests) {
      if (!DIGEST.test(digest)) {
        return `Workspace ${name}: a key must be given as its SHA-256`;
      }
      const owner = owners.get(digest) ?? name;
      if (owner !== name) return `Workspaces ${owner} and ${name} share a key`;
      owners.set(digest, name);
    }
  }
  return undefined;
}

function findQuotaError(workspace: Workspace): string | undefined {
  const { ratePerSecond, burst, priority = 0 } = workspace;
  if (!isNonNegative(ratePerSecond)) return "the rate must be at least 0";
  if (!isNonNegative(burst)) return "the burst must be at least 0";
  if (!Number.isSafeInteger(priority) || priority < 0) {
    return "the priority must be a non-negative integer";
  }
  return undefined;
}

function isNonNegative(value: number): boolean {
  return Number.isFinite(value) && value >= 0;
}

function findRouteError(
  route: Route,
  services: ReadonlySet<string>,
): string | undefined {
  let weight = 0;
  for (const target of route.targets) {
    if (!services.has(target.service)) {
      return `service ${target.service} is not defined`;
    }
    if (!(target.weight >= 0)) return "a weight must be at least 0";
    weight += target.weight;
  }
  if (!(weight > 0)) return "the weights sum to 0";
  if (!(route.timeoutMilliseconds > 0)) return "the timeout must be above 0";
  const { pathPrefix } = route;
  if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
    return "the prefix must begin and end with a slash";
  }
  return undefined;
}

function refuse(message: string): ReturnType<typeof fail> {
  return fail(RESULT_CODES.INVALID_DOCUMENT, message);
}

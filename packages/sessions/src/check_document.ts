/** Checks that a routing document can be put in force as a whole. */

import {
  fail,
  type Outcome,
  RESULT_CODES,
  type Route,
  type RoutingDocument,
} from "@mallowlift/core";
import { Ok } from "ts-results";

/**
 * Returns the document, or the first reason why it is not valid.
 *
 * @example
 * ```ts
 * const checked = checkDocument(document);
 * if (checked.err) return answerInvalid(checked.val.message);
 * ```
 */
export function checkDocument(
  document: RoutingDocument,
): Outcome<RoutingDocument> {
  if (!Number.isSafeInteger(document.version) || document.version < 0) {
    return refuse("The version is not a whole number");
  }
  const services = new Set<string>();
  for (const service of document.services) {
    if (services.has(service.name)) {
      return refuse(`Service ${service.name} stands twice`);
    }
    services.add(service.name);
  }
  const places = new Set<string>();
  for (const route of document.routes) {
    const mistake = findRouteMistake(route, services);
    if (mistake !== undefined) return refuse(`Route ${route.name}: ${mistake}`);
    const place = `${route.host} ${route.pathPrefix}`;
    if (places.has(place)) {
      return refuse(`Route ${route.name}: another has its host and prefix`);
    }
    places.add(place);
  }
  return Ok(document);
}

function findRouteMistake(
  route: Route,
  services: ReadonlySet<string>,
): string | undefined {
  let weight = 0;
  for (const target of route.targets) {
    if (!services.has(target.service)) {
      return `service ${target.service} is not known`;
    }
    if (!(target.weight >= 0)) return "a weight is not a number from 0";
    weight += target.weight;
  }
  if (!(weight > 0)) return "the weights sum to 0";
  if (!(route.timeoutMilliseconds > 0)) return "the timeout is not above 0";
  const { pathPrefix } = route;
  if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
    return "the prefix does not begin and end with a slash";
  }
  return undefined;
}

function refuse(message: string): ReturnType<typeof fail> {
  return fail(RESULT_CODES.INVALID_DOCUMENT, message);
}

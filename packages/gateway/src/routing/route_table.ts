/** Finds the route, service and workspace of a request in a routing document. */

import type {
  Route,
  RoutingDocument,
  Service,
  Workspace,
} from "@mallowlift/core";

/** A routing document indexed for lookups. */
export class RouteTable {
  readonly document: RoutingDocument;
  readonly #byHost = new Map<string, Route[]>();
  readonly #services = new Map<string, Service>();
  readonly #workspaces = new Map<string, Workspace>();

  constructor(document: RoutingDocument) {
    this.document = document;
    for (const route of document.routes) {
      const routes = this.#byHost.get(route.host);
      if (routes === undefined) this.#byHost.set(route.host, [route]);
      else routes.push(route);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((left, right) =>
        right.pathPrefix.length - left.pathPrefix.length
      );
    }
    for (const service of document.services) {
      this.#services.set(service.name, service);
    }
    for (const workspace of document.workspaces ?? []) {
      for (const digest of workspace.keyDigests) {
        this.#workspaces.set(digest, workspace);
      }
    }
  }

  /** The route of the host with the longest prefix of the path. */
  find(host: string, path: string): Route | undefined {
    for (const route of this.#byHost.get(host) ?? []) {
      if (path.startsWith(route.pathPrefix)) return route;
    }
    return undefined;
  }

  /** A service by its name. */
  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /**
   * Finds the workspace of a key by the key's digest. The duration of the lookup
   * can reveal only the digest, and a key cannot be derived from its digest.
   */
  findWorkspace(keyDigest: string): Workspace | undefined {
    return this.#workspaces.get(keyDigest);
  }
}

/**
 * Chooses a service at random by the weights of the route.
 *
 * @param point a random number from 0 up to but not including 1
 */
export function chooseService(route: Route, point: number): string {
  let totalWeight = 0;
  for (const target of route.targets) totalWeight += target.weight;
  let remaining = point * totalWeight;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return route.targets.at(-1)?.service ?? "";
}

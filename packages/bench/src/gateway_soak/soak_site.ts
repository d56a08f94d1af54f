/** Site that the gateway soak runs against. */

import { join } from "node:path";
import { OpaqueUpstream } from "@mallowlift/mocks";
import { GatewaySite } from "../gateways/gateway_site.ts";
import { INITIAL_DOCUMENT, WORKSPACE_SETTINGS } from "./soak_workspaces.ts";

/** Number of daemons and upstreams of a site. */
export interface SoakSize {
  readonly gateways: number;
  readonly stores: number;
  readonly upstreams: number;
}

/** Default size, with more than one of each daemon and upstream. */
export const DEFAULT_SIZE: SoakSize = { gateways: 3, stores: 4, upstreams: 4 };

/** A running site and its upstreams. */
export interface SoakSite {
  readonly site: GatewaySite;
  readonly upstreams: readonly OpaqueUpstream[];
}

/**
 * Starts a site with fault proxies for the connections between daemons and to
 * upstreams; callers, operators and health requests connect directly.
 */
export async function startSoakSite(
  folder: string,
  size: SoakSize,
): Promise<SoakSite> {
  const upstreams: OpaqueUpstream[] = [];
  for (let number = 1; number <= size.upstreams; number++) {
    const upstream = new OpaqueUpstream(`u-${number}`);
    await upstream.start();
    upstreams.push(upstream);
  }
  const site = await GatewaySite.start({
    folder: join(folder, "site"),
    gateways: size.gateways,
    stores: size.stores,
    upstreams,
    waitMilliseconds: 1_500,
    proxied: true,
    gatewaySettings: WORKSPACE_SETTINGS,
  }, INITIAL_DOCUMENT);
  return { site, upstreams };
}

/** Stops the site and its upstreams. */
export async function stopSoakSite(soakSite: SoakSite): Promise<void> {
  await soakSite.site.stop();
  for (const upstream of soakSite.upstreams) upstream.stop();
}

/** Starts a site of gateways and stores for one test, and stops it afterwards. */

import type { RoutingDocument } from "@mallowlift/core";
import { OpaqueUpstream } from "@mallowlift/mocks";
import type { Test } from "tap";
import { GatewaySite } from "./gateway_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";

/** Size and settings of a test site. */
export interface TestSitePlan {
  /** Number of gateways; 1 by default. */
  readonly gateways?: number;
  /** Number of stores; 3 by default. */
  readonly stores?: number;
  /** Number of upstreams; 1 by default. */
  readonly upstreams?: number;
  /** How long a request waits for a leader or a document, ms. */
  readonly waitMilliseconds?: number;
  /** True to put a fault proxy in front of each daemon and each upstream. */
  readonly proxied?: boolean;
  /** Largest internal frame, bytes; by default that of the settings schema. */
  readonly maxFrameBytes?: number;
  /** Options of Node.js for all daemons. */
  readonly nodeOptions?: readonly string[];
  /** Path of a module that stores load before their own code. */
  readonly preloadedByStores?: string;
  /** Path of a module that gateways load before their own code. */
  readonly preloadedByGateways?: string;
  /** Additional keys of the gateways' settings. */
  readonly gatewaySettings?: Readonly<Record<string, string | number>>;
  /** Time that a daemon has to stop, ms; 20,000 by default. */
  readonly stopMilliseconds?: number;
  /** Roles of the gateways' daemons; only the gateway by default. */
  readonly gatewayRoles?: string;
  /** Initial routing document; {@linkcode TEST_DOCUMENT} by default. */
  readonly document?: RoutingDocument;
}

/** A running site with its upstreams. */
export interface TestSite {
  readonly site: GatewaySite;
  /** Named u-1, u-2 and so on. */
  readonly upstreams: readonly OpaqueUpstream[];
  /** URL at which the first gateway serves callers. */
  readonly url: string;
  /** Folder with the site's data and logs. */
  readonly folder: string;
}

/**
 * Starts a site and stops it when the test ends.
 *
 * @example
 * ```ts
 * const { url, upstreams } = await startTestSite(t, { upstreams: 2 });
 * ```
 */
export async function startTestSite(
  t: Test,
  plan: TestSitePlan = {},
): Promise<TestSite> {
  const { gateways = 1, stores = 3, waitMilliseconds, proxied } = plan;
  const { maxFrameBytes, gatewaySettings, document = TEST_DOCUMENT } = plan;
  const {
    preloadedByStores,
    preloadedByGateways,
    stopMilliseconds,
    gatewayRoles,
    nodeOptions,
  } = plan;
  const upstreams = Array.from(
    { length: plan.upstreams ?? 1 },
    (_, index) => new OpaqueUpstream(`u-${index + 1}`),
  );
  for (const upstream of upstreams) await upstream.start();
  const started: GatewaySite[] = [];
  // Teardown handlers run in the order of their registration. This one comes before
  // that of t.testdir(), because a folder to which daemons write cannot be removed.
  t.teardown(async () => {
    for (const running of started) await running.stop();
    for (const upstream of upstreams) upstream.stop();
  });
  const folder = t.testdir();
  const site = await GatewaySite.start(
    {
      folder,
      gateways,
      stores,
      upstreams,
      waitMilliseconds,
      proxied,
      maxFrameBytes,
      gatewaySettings,
      preloadedByStores,
      preloadedByGateways,
      nodeOptions,
      stopMilliseconds,
      gatewayRoles,
    },
    document,
  );
  started.push(site);
  const url = site.gateways[0]?.callersUrl ?? "";
  return { site, upstreams, url, folder };
}

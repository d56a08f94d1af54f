/** Starts a site whose upstreams follow scripts, for tests. */

import { UnrulyScript, UnrulyUpstream } from "@mallowlift/mocks";
import type { Test } from "tap";
import { GatewaySite } from "./gateway_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";

/** A running site with its upstreams. */
export interface UnrulySite {
  readonly site: GatewaySite;
  readonly script: UnrulyScript;
  readonly upstreams: readonly UnrulyUpstream[];
  /** URL at which the gateway serves callers. */
  readonly url: string;
}

/** Starts a site with one gateway and stops it when the test ends. */
export async function startUnrulySite(
  t: Test,
  plan: {
    /** Number of upstreams. */
    readonly upstreams: number;
    readonly stores?: number;
    readonly nodeOptions?: readonly string[];
    readonly gatewaySettings?: Readonly<Record<string, string | number>>;
  },
): Promise<UnrulySite> {
  const script = new UnrulyScript();
  const upstreams = Array.from(
    { length: plan.upstreams },
    (_, index) => new UnrulyUpstream(`u-${index + 1}`, script),
  );
  for (const upstream of upstreams) await upstream.start();
  const started: GatewaySite[] = [];
  t.teardown(async () => {
    for (const running of started) await running.stop();
    for (const upstream of upstreams) upstream.stop();
  });
  const { stores = 1, nodeOptions = [], gatewaySettings = {} } = plan;
  const site = await GatewaySite.start({
    folder: t.testdir(),
    gateways: 1,
    stores,
    tolerance: stores === 1 ? 0 : 1,
    upstreams,
    nodeOptions,
    gatewaySettings,
  }, TEST_DOCUMENT);
  started.push(site);
  const url = site.gateways[0]?.callersUrl ?? "";
  return { site, script, upstreams, url };
}

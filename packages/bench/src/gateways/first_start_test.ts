import { test } from "tap";
import { GatewaySite } from "./gateway_site.ts";
import { findLeader } from "./store_metrics.ts";
import { TEST_DOCUMENT } from "./test_document.ts";

// Guards against a site that ends for good: it was founded without a store that was
// frozen, and the next disk that was lost took the quorum away.
test("a site whose store is late at the first start survives a lost disk", async (t) => {
  const sites: GatewaySite[] = [];
  t.teardown(async () => {
    for (const site of sites) await site.stop();
  });
  const site = await GatewaySite.start({
    folder: t.testdir(),
    gateways: 1,
    stores: 3,
    upstreams: [],
    preloadedByStores: require.resolve("./late_store.js"),
    startsReady: false,
  }, TEST_DOCUMENT);
  sites.push(site);
  const name = await findLeader({ site });
  for (const store of site.stores) {
    if (store.name !== name) continue;
    await site.kill(store, true);
    site.restart(store);
  }
  await site.waitUntilReady();
  await site.putDocument({ ...TEST_DOCUMENT, version: 2 });
  t.pass("the site takes another document");
});

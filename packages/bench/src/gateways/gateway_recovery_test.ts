import { sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";

test("after all daemons are killed, the first request that is accepted is served", async (t) => {
  const running = await startTestSite(t, {
    upstreams: 2,
    waitMilliseconds: 60_000,
  });
  const { site } = running;
  const url = site.gateways[0]?.callersUrl ?? "";
  for (const daemon of site.daemons) daemon.process.signal("SIGKILL");
  for (const daemon of site.daemons) await daemon.process.waitForExit();
  for (const daemon of site.daemons) site.restart(daemon);
  let status = 0;
  while (status === 0) {
    const result = await callGateway(url, { callId: "first", path: "/read/x" });
    status = result.status;
    await sleep(20);
  }
  t.equal(status, 200);
});

test("a spare store that lost its disk is ready again", async (t) => {
  const { site } = await startTestSite(t, { stores: 4, upstreams: 2 });
  const spare = site.stores.at(-1);
  if (spare === undefined) throw new Error("The site has no store");
  await site.kill(spare, true);
  site.restart(spare);
  t.ok(await site.waitUntilStoreReady(spare, 30_000));
});

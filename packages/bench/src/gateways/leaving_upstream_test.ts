import { sleep } from "@mallowlift/core";
import { type Test, test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite, type TestSite } from "./start_test_site.ts";

/** Number of concurrent calls; an upstream that gets none of them counts as unused. */
const CALLS_AT_ONCE = 20;
/**
 * Timeout for the gateway to learn of the leaving upstream, ms, long enough
 * for a busy machine.
 */
const LEARN_TIMEOUT_MILLISECONDS = 30_000;
const POLL_MILLISECONDS = 100;

/**
 * True if all calls are served and none reaches the first upstream. The calls are
 * concurrent, because single calls stay with the upstream whose connection is open.
 */
async function isUnused({ url, upstreams }: TestSite): Promise<boolean> {
  const [leaving] = upstreams;
  const earlierRuns = leaving?.runs.length;
  const calls = Array.from({ length: CALLS_AT_ONCE }, (_, call) => {
    const callId = `${earlierRuns}-${call}-${Date.now()}`;
    return callGateway(url, { callId, path: "/read/x" });
  });
  const results = await Promise.all(calls);
  return results.every(({ status }) => status === 200) &&
    leaving?.runs.length === earlierRuns;
}

// Guards against calls to an upstream that leaves while the stores have no leader.
test("calls stop going to a leaving upstream while the stores have no leader", async (t: Test) => {
  t.setTimeout(2 * LEARN_TIMEOUT_MILLISECONDS);
  const running = await startTestSite(t, { upstreams: 2 });
  const { site } = running;
  t.notOk(await isUnused(running), "both upstreams get calls at first");
  for (const store of site.stores.slice(1)) await site.kill(store);
  site.writeInstanceList(["u-1"]);
  const deadline = Date.now() + LEARN_TIMEOUT_MILLISECONDS;
  let isAvoided = false;
  while (!isAvoided && Date.now() < deadline) {
    isAvoided = await isUnused(running);
    await sleep(POLL_MILLISECONDS);
  }
  t.ok(isAvoided, "the leaving upstream gets no more calls");
});

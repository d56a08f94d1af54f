import { sleep } from "@mallowlift/core";
import { type Test, test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite, type TestSite } from "./start_test_site.ts";

/** Calls by which an upstream of two counts as unused. */
const CALLS_AT_ONCE = 20;
/** Longest wait for the gateway to learn of it, also on a busy machine. */
const LIMIT_MILLISECONDS = 30_000;
const PAUSE_MILLISECONDS = 100;

/**
 * True if none of the calls reaches the first upstream, and all are answered.
 * They are made at once: single calls stay with the upstream whose connection
 * is open.
 */
async function isUnused({ url, upstreams }: TestSite): Promise<boolean> {
  const [leaving] = upstreams;
  const before = leaving?.runs.length;
  const calls = Array.from({ length: CALLS_AT_ONCE }, (_, call) => {
    const callId = `${before}-${call}-${Date.now()}`;
    return callGateway(url, { callId, path: "/read/x" });
  });
  const seen = await Promise.all(calls);
  return seen.every(({ status }) => status === 200) &&
    leaving?.runs.length === before;
}

// Guards against calls to an upstream that left while the stores had no leader.
test("calls stop going to a leaving upstream while the stores have no leader", async (t: Test) => {
  t.setTimeout(2 * LIMIT_MILLISECONDS);
  const running = await startTestSite(t, { upstreams: 2 });
  const { site } = running;
  t.notOk(await isUnused(running), "both upstreams get calls");
  for (const store of site.stores.slice(1)) await site.kill(store);
  site.listUpstreams(["u-1"]);
  const until = Date.now() + LIMIT_MILLISECONDS;
  let isLeft = false;
  while (!isLeft && Date.now() < until) {
    isLeft = await isUnused(running);
    await sleep(PAUSE_MILLISECONDS);
  }
  t.ok(isLeft, "the upstream that leaves gets no call");
});

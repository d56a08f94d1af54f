/** Tests turns with a token budget on a route that keeps no history. */

import { sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway, type CallResult } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";

const EVENTS = 20;
const POLL_MILLISECONDS = 10;

test("a turn on a route without history needs the stores only when it begins", async (t) => {
  const { site, upstreams, url } = await startTestSite(t);
  const [upstream] = upstreams;
  if (upstream === undefined) throw new Error("The site has no upstream");
  upstream.events = EVENTS;
  const callTurn = (callId: string): Promise<CallResult> =>
    callGateway(url, {
      callId,
      path: "/resumable-stream/x",
      body: callId,
      headers: {
        "x-program": "p",
        // Each event counts as two tokens.
        "x-most-tokens": String(2 * EVENTS),
        "x-token-budget": String(4 * EVENTS),
      },
    });

  t.ok((await callTurn("first")).whole);
  upstream.faults.eventIntervalMilliseconds = 50;
  const second = callTurn("second");
  while (!upstream.runs.some((run) => run.callId === "second")) {
    await sleep(POLL_MILLISECONDS);
  }
  for (const store of site.stores) store.process.signal("SIGKILL");
  t.ok((await second).whole, "the end of the turn does not wait for a store");
  for (const store of site.stores) await store.process.waitForExit();
  for (const store of site.stores) site.restart(store);
  await site.waitUntilReady();
  const third = await callTurn("third");
  t.equal(third.status, 402, "the spent tokens are known after the restart");
  t.notOk(upstream.runs.some((run) => run.callId === "third"));
});

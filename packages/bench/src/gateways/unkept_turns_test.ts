/** Turns with a budget on a route whose history nobody keeps. */

import { sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway, type CallSeen } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";

const EVENTS = 20;
const LOOK_MILLISECONDS = 10;

test("a turn that nobody goes on from needs the stores only to begin", async (t) => {
  const { site, upstreams, url } = await startTestSite(t);
  const [upstream] = upstreams;
  if (upstream === undefined) throw new Error("No upstream");
  upstream.events = EVENTS;
  const ask = (callId: string): Promise<CallSeen> =>
    callGateway(url, {
      callId,
      path: "/resumable-stream/x",
      body: callId,
      headers: {
        "x-program": "p",
        // Each event stands for two tokens.
        "x-most-tokens": String(2 * EVENTS),
        "x-token-budget": String(4 * EVENTS),
      },
    });

  t.ok((await ask("first")).whole);
  upstream.faults.pauseMilliseconds = 50;
  const second = ask("second");
  while (!upstream.runs.some((run) => run.callId === "second")) {
    await sleep(LOOK_MILLISECONDS);
  }
  for (const store of site.stores) store.process.signal("SIGKILL");
  t.ok((await second).whole, "the end waits for no store");
  for (const store of site.stores) await store.process.waitForExit();
  for (const store of site.stores) site.restart(store);
  await site.waitUntilReady();
  const third = await ask("third");
  t.equal(third.status, 402, "what was spent is known after the restart");
  t.notOk(upstream.runs.some((run) => run.callId === "third"));
});

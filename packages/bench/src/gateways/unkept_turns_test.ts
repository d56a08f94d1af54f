/** Turns with a budget on a route whose history nobody keeps. */

import { sleep } from "@mallowlift/core";
import { OpaqueUpstream } from "@mallowlift/mocks";
import { test } from "tap";
import { callGateway, type CallSeen } from "./gateway_caller.ts";
import { GatewaySite } from "./gateway_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";

const EVENTS = 20;
const LOOK_MILLISECONDS = 10;

test("a turn that nobody goes on from needs the stores only to begin", async (t) => {
  const upstream = new OpaqueUpstream("u-1");
  await upstream.start();
  upstream.events = EVENTS;
  const site = await GatewaySite.start({
    folder: t.testdir(),
    gateways: 1,
    stores: 3,
    upstreams: [upstream],
  }, TEST_DOCUMENT);
  t.teardown(async () => {
    await site.stop();
    upstream.stop();
  });
  const url = site.gateways[0]?.callersUrl ?? "";
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

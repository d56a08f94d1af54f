import { sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";
import { askTurn, countRuns } from "./turn_caller.ts";

test("a gateway that is asked to stop finishes its streams", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const { site, upstreams } = running;
  for (const upstream of upstreams) {
    upstream.events = 20;
    upstream.faults.pauseMilliseconds = 50;
  }
  const stream = askTurn(running, { id: "a" });
  while (upstreams.every((upstream) => upstream.runs.length === 0)) {
    await sleep(10);
  }
  const gateway = site.gateways[0];
  t.equal(await gateway?.process.stop(), 0);
  const seen = await stream;
  t.equal(seen.status, 200);
  t.ok(seen.whole);
});

test("a gateway that stops takes no late request that it might have to cut", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const { site } = running;
  const [gateway] = site.gateways;
  if (gateway === undefined) throw new Error("No gateway");
  // The stream goes on well after the gateway has stopped taking requests.
  for (const upstream of running.upstreams) {
    upstream.events = 100;
    upstream.faults.pauseMilliseconds = 50;
  }
  let isStreaming = true;
  const streaming = askTurn(running, { id: "long" }).finally(() => {
    isStreaming = false;
  });
  while (countRuns(running, "long") === 0) await sleep(10);
  const stopped = gateway.process.stop();
  let late = await callGateway(gateway.callersUrl, {
    callId: "r-0",
    path: "/read/x",
  });
  for (let round = 1; late.status !== 0 && isStreaming; round++) {
    await sleep(50);
    late = await callGateway(gateway.callersUrl, {
      callId: `r-${round}`,
      path: "/read/x",
    });
  }
  t.ok(isStreaming, "late requests are turned away while a stream goes on");
  const seen = await streaming;
  t.ok(seen.whole, "the stream is finished");
  await stopped;
});

test("a caller that leaves is felt at the upstream", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const { upstreams } = running;
  for (const upstream of upstreams) {
    upstream.events = 10_000;
    upstream.faults.pauseMilliseconds = 10;
  }
  const leave = new AbortController();
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const call = callGateway(url, {
    callId: "a",
    path: "/stream/x",
    signal: leave.signal,
  });
  while (upstreams.every((upstream) => upstream.runs.length === 0)) {
    await sleep(10);
  }
  leave.abort();
  await call;
  while (upstreams.every((upstream) => upstream.left.length === 0)) {
    await sleep(10);
  }
  t.pass("the upstream saw its connection close");
});

/** Tests of calls while an upstream fails, truncates its streams or stalls. */

import { sleep } from "@mallowlift/core";
import { describeEvent, type OpaqueUpstream } from "@mallowlift/mocks";
import { type Test, test } from "tap";
import { callGateway, type CallResult } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";

const CALLS = 20;
const POLL_MILLISECONDS = 50;
/** Longer than the idle time after which a stream is resumed elsewhere. */
const STALL_MILLISECONDS = 3_000;

interface FailingSite {
  readonly url: string;
  readonly failing: OpaqueUpstream;
  readonly healthy: OpaqueUpstream;
}

/** Starts one site for all tests of this file. */
async function start(t: Test): Promise<FailingSite> {
  const { upstreams, url } = await startTestSite(t, { upstreams: 2 });
  const [failing, healthy] = upstreams;
  if (failing === undefined || healthy === undefined) {
    throw new Error("The site has no upstreams");
  }
  return { url, failing, healthy };
}

function describeStream(prompt: string, events: number): string {
  let stream = "";
  for (let event = 1; event <= events; event++) {
    stream += `id: ${event}\ndata: ${describeEvent(prompt, event)}\n\n`;
  }
  return stream;
}

/** Makes concurrent calls, so that both upstreams are likely to get some. */
function streamConcurrently(url: string): Promise<readonly CallResult[]> {
  return Promise.all(
    Array.from({ length: CALLS }, (_, call) =>
      callGateway(url, {
        callId: `s-${call}`,
        path: "/resumable-stream/x",
        body: "prompt",
      })),
  );
}

async function testIdempotent(
  t: Test,
  { url, failing }: FailingSite,
): Promise<void> {
  failing.faults.fails = true;
  for (let call = 0; call < CALLS; call++) {
    const result = await callGateway(url, {
      callId: `r-${call}`,
      path: "/read/x",
    });
    t.equal(result.status, 200);
  }
  t.ok(failing.runs.length < CALLS / 2, `${failing.runs.length} runs failed`);
}

async function testOnce(
  t: Test,
  { url, failing, healthy }: FailingSite,
): Promise<void> {
  failing.faults.fails = true;
  let failures = 0;
  for (let call = 0; call < CALLS; call++) {
    const callId = `w-${call}`;
    const result = await callGateway(url, { callId, path: "/write/x" });
    if (result.status === 500) {
      failures++;
      t.equal(result.body, "failed");
    }
    const runs = [...failing.runs, ...healthy.runs].filter((run) =>
      run.callId === callId
    );
    t.equal(runs.length, 1);
  }
  t.ok(failures < CALLS / 2, `${failures} of ${CALLS} failed`);
}

async function testResumed(
  t: Test,
  { url, failing, healthy }: FailingSite,
): Promise<void> {
  failing.faults.closesAfter = 2;
  failing.events = 6;
  healthy.events = 6;
  while (failing.runs.length === 0) {
    for (const result of await streamConcurrently(url)) {
      t.equal(result.status, 200);
      t.ok(result.whole);
      t.equal(result.body, describeStream("prompt", 6));
    }
  }
}

async function testStalled(
  t: Test,
  { url, failing, healthy }: FailingSite,
): Promise<void> {
  failing.faults.eventIntervalMilliseconds = STALL_MILLISECONDS;
  while (failing.runs.length === 0) {
    for (const result of await streamConcurrently(url)) {
      t.ok(result.whole);
      t.equal(result.body, describeStream("prompt", healthy.events));
    }
  }
}

async function testCutOff(
  t: Test,
  { url, failing, healthy }: FailingSite,
): Promise<void> {
  for (const upstream of [failing, healthy]) upstream.faults.closesAfter = 1;
  const result = await callGateway(url, {
    callId: "s",
    path: "/stream/x",
    body: "prompt",
  });
  t.notOk(result.whole);
  t.equal(failing.runs.length + healthy.runs.length, 1);
}

test("failing upstreams", async (t) => {
  const running = await start(t);
  const { failing, healthy } = running;
  const initialFaults = { ...healthy.faults };
  t.beforeEach(async () => {
    for (const upstream of [failing, healthy]) {
      Object.assign(upstream.faults, initialFaults);
      upstream.runs.length = 0;
      upstream.events = 3;
    }
    // Wait until the failing upstream gets calls again: the failures of the
    // previous test keep it out of use for a while.
    while (failing.runs.length === 0) {
      await streamConcurrently(running.url);
      await sleep(POLL_MILLISECONDS);
    }
    for (const upstream of [failing, healthy]) upstream.runs.length = 0;
  });
  await t.test("an idempotent call is retried at a healthy upstream", (t) =>
    testIdempotent(t, running));
  await t.test("a call that may run only once gets the failure unaltered and is not retried", (t) =>
    testOnce(t, running));
  await t.test("a resumable stream continues elsewhere with each event once", (t) =>
    testResumed(t, running));
  await t.test("a resumable stream that stalls continues elsewhere", (t) =>
    testStalled(t, running));
  await t.test("a stream that is not resumable ends where its upstream cut it", (t) =>
    testCutOff(t, running));
});

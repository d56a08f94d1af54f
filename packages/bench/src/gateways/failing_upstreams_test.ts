/** Calls beside upstreams that answer that they failed. */

import { sleep } from "@mallowlift/core";
import { describeEvent, type OpaqueUpstream } from "@mallowlift/mocks";
import { type Test, test } from "tap";
import { callGateway, type CallSeen } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";

const CALLS = 20;
const LOOK_MILLISECONDS = 50;
/** Longer than the silence after which a stream goes on elsewhere. */
const STANDING_MILLISECONDS = 3_000;

interface Running {
  readonly url: string;
  readonly failing: OpaqueUpstream;
  readonly sound: OpaqueUpstream;
}

/** Starts one site for all tests of this file. */
async function start(t: Test): Promise<Running> {
  const { upstreams, url } = await startTestSite(t, { upstreams: 2 });
  const [failing, sound] = upstreams;
  if (failing === undefined || sound === undefined) {
    throw new Error("No upstreams");
  }
  return { url, failing, sound };
}

function describeStream(prompt: string, events: number): string {
  let stream = "";
  for (let event = 1; event <= events; event++) {
    stream += `id: ${event}\ndata: ${describeEvent(prompt, event)}\n\n`;
  }
  return stream;
}

/** Calls side by side, so that both upstreams are likely to get some. */
function streamSideBySide(url: string): Promise<readonly CallSeen[]> {
  return Promise.all(
    Array.from({ length: CALLS }, (_, call) =>
      callGateway(url, {
        callId: `s-${call}`,
        path: "/resumable-stream/x",
        body: "prompt",
      })),
  );
}

async function testRepeatable(
  t: Test,
  { url, failing }: Running,
): Promise<void> {
  failing.faults.fails = true;
  for (let call = 0; call < CALLS; call++) {
    const seen = await callGateway(url, {
      callId: `r-${call}`,
      path: "/read/x",
    });
    t.equal(seen.status, 200);
  }
  t.ok(failing.runs.length < CALLS / 2, `${failing.runs.length} runs failed`);
}

async function testOnce(
  t: Test,
  { url, failing, sound }: Running,
): Promise<void> {
  failing.faults.fails = true;
  let failures = 0;
  for (let call = 0; call < CALLS; call++) {
    const callId = `w-${call}`;
    const seen = await callGateway(url, { callId, path: "/write/x" });
    if (seen.status === 500) {
      failures++;
      t.equal(seen.body, "failed");
    }
    const runs = [...failing.runs, ...sound.runs].filter((run) =>
      run.callId === callId
    );
    t.equal(runs.length, 1);
  }
  t.ok(failures < CALLS / 2, `${failures} of ${CALLS} failed`);
}

async function testResumed(
  t: Test,
  { url, failing, sound }: Running,
): Promise<void> {
  failing.faults.cutsAfter = 2;
  failing.events = 6;
  sound.events = 6;
  while (failing.runs.length === 0) {
    for (const seen of await streamSideBySide(url)) {
      t.equal(seen.status, 200);
      t.ok(seen.whole);
      t.equal(seen.body, describeStream("prompt", 6));
    }
  }
}

async function testStanding(
  t: Test,
  { url, failing, sound }: Running,
): Promise<void> {
  failing.faults.pauseMilliseconds = STANDING_MILLISECONDS;
  while (failing.runs.length === 0) {
    for (const seen of await streamSideBySide(url)) {
      t.ok(seen.whole);
      t.equal(seen.body, describeStream("prompt", sound.events));
    }
  }
}

async function testBroken(
  t: Test,
  { url, failing, sound }: Running,
): Promise<void> {
  for (const upstream of [failing, sound]) upstream.faults.cutsAfter = 1;
  const seen = await callGateway(url, {
    callId: "s",
    path: "/stream/x",
    body: "prompt",
  });
  t.notOk(seen.whole);
  t.equal(failing.runs.length + sound.runs.length, 1);
}

test("upstreams that fail", async (t) => {
  const running = await start(t);
  const { failing, sound } = running;
  const usual = { ...sound.faults };
  t.beforeEach(async () => {
    for (const upstream of [failing, sound]) {
      Object.assign(upstream.faults, usual);
      upstream.runs.length = 0;
      upstream.events = 3;
    }
    // Until the rest that the last test's failures brought is over.
    while (failing.runs.length === 0) {
      await streamSideBySide(running.url);
      await sleep(LOOK_MILLISECONDS);
    }
    for (const upstream of [failing, sound]) upstream.runs.length = 0;
  });
  await t.test("what may be repeated goes on to an upstream that works", (t) =>
    testRepeatable(t, running));
  await t.test("what may run once gets the failure unaltered, and is not run again", (t) =>
    testOnce(t, running));
  await t.test("a stream that may be resumed goes on elsewhere, each event once", (t) =>
    testResumed(t, running));
  await t.test("a stream that stands still goes on elsewhere if it may be resumed", (t) =>
    testStanding(t, running));
  await t.test("a stream that may not be resumed is broken off where its upstream did", (t) =>
    testBroken(t, running));
});

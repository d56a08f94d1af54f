/** Calls beside upstreams that answer that they failed. */

import { OpaqueUpstream } from "@mallowlift/mocks";
import { type Test, test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { GatewaySite } from "./gateway_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";

const CALLS = 20;

interface Running {
  readonly url: string;
  readonly failing: OpaqueUpstream;
  readonly sound: OpaqueUpstream;
}

async function start(t: Test): Promise<Running> {
  const failing = new OpaqueUpstream("u-1");
  const sound = new OpaqueUpstream("u-2");
  for (const upstream of [failing, sound]) await upstream.start();
  failing.faults.fails = true;
  const site = await GatewaySite.start({
    folder: t.testdir(),
    gateways: 1,
    stores: 3,
    upstreams: [failing, sound],
  }, TEST_DOCUMENT);
  t.teardown(async () => {
    await site.stop();
    for (const upstream of [failing, sound]) upstream.stop();
  });
  return { url: site.gateways[0]?.callersUrl ?? "", failing, sound };
}

test("what may be repeated goes on to an upstream that works", async (t) => {
  const { url, failing } = await start(t);
  for (let call = 0; call < CALLS; call++) {
    const seen = await callGateway(url, {
      callId: `r-${call}`,
      path: "/read/x",
    });
    t.equal(seen.status, 200);
  }
  t.ok(failing.runs.length < CALLS / 2, `${failing.runs.length} runs failed`);
});

test("what may run once gets the failure unaltered, and is not run again", async (t) => {
  const { url, failing, sound } = await start(t);
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
});

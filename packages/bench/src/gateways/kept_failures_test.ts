import { sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";

/** Timeout of a call, ms; shorter than that of its route. */
const CALL_MILLISECONDS = 10_000;
/** Calls until one reaches the failing upstream first; each does with odds of a half. */
const MAX_CALLS = 60;
/** Longer than the first backoff of an upstream. */
const PAUSE_MILLISECONDS = 300;

// Guards against a stream that is neither ended nor broken off, because a server error
// of an earlier send was kept for the caller and returned after the stream had begun.
test("a kept server error does not replace a stream that has begun", async (t) => {
  const { upstreams, url } = await startTestSite(t, { upstreams: 2 });
  const [failing, cutting] = upstreams;
  if (failing === undefined || cutting === undefined) {
    throw new Error("The site has no upstreams");
  }
  failing.faults.fails = true;
  cutting.faults.closesAfter = 1;
  for (let call = 0; call < MAX_CALLS; call++) {
    const callId = `s-${call}`;
    const signal = AbortSignal.timeout(CALL_MILLISECONDS);
    const path = "/resumable-stream/x";
    const answer = await callGateway(url, { callId, path, signal });
    t.notOk(signal.aborted, "the call has ended");
    t.notOk(answer.status === 200 && answer.whole);
    const hasBegun = answer.status === 200 && answer.body.startsWith("id: 1");
    const isFailedFirst = hasBegun &&
      failing.runs.some((run) =>
        run.callId === callId && run.headers["last-event-id"] === undefined
      );
    if (isFailedFirst) return;
    await sleep(PAUSE_MILLISECONDS);
  }
  t.fail("No call reached the failing upstream first");
});

import { RUN_STEP, type UnrulyStep } from "@mallowlift/mocks";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startUnrulySite } from "./unruly_site.ts";

const REFUSE_STEP: UnrulyStep = { ...RUN_STEP, reply: "refuse" };
// Guards against an unsafe request that runs at two upstreams, because the late copy of
// an earlier refusal counts as the answer to its next send.
test("a copy of a refusal does not answer the next send of the same request", async (t) => {
  const { script, url } = await startUnrulySite(t, { upstreams: 1 });
  for (const hasAnswerIds of [false, true]) {
    script.hasAnswerIds = hasAnswerIds;
    const callId = `copy-${hasAnswerIds}`;
    const repeats = hasAnswerIds ? "any_connection" : "same_connection";
    script.plan(callId, [
      REFUSE_STEP,
      { ...RUN_STEP, repeats, delayMilliseconds: 200 },
    ]);
    const { status, body } = await callGateway(url, {
      callId,
      path: "/write/",
    });
    t.same({ status, body }, { status: 200, body: `ran ${callId}` });
    t.equal(script.runs.get(callId), 1);
  }
});

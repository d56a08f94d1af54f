import {
  CUT_HEAD_BODY,
  CUT_HEAD_KINDS,
  CUT_HEADS,
  type CutHeadKind,
  HEAD_VERDICTS,
  RUN_STEP,
  type UnrulyStep,
} from "@mallowlift/mocks";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startUnrulySite } from "./unruly_site.ts";

/** So many that the backoffs of some never keep a call waiting. */
const UPSTREAMS = 8;
const OK = 200;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const ROUTES = [
  { path: "/write/", type: "text/plain", mayRepeat: false },
  { path: "/read/", type: "text/plain", mayRepeat: true },
  { path: "/stream/", type: "text/event-stream", mayRepeat: false },
  { path: "/resumable-stream/", type: "text/event-stream", mayRepeat: true },
];

function createStep(
  head: CutHeadKind,
  details: { readonly resets: boolean; readonly type: string },
): UnrulyStep {
  return { ...RUN_STEP, head, ...details };
}

// Guards against a head that has lost bytes on the way: its answer reached callers as a
// whole one, short or empty, with a length or chunks of the gateway's own.
test("an answer whose head is cut never looks complete", async (t) => {
  const { site, script, url } = await startUnrulySite(t, {
    upstreams: UPSTREAMS,
  });
  for (const kind of CUT_HEAD_KINDS) {
    const calls = ROUTES.flatMap(({ path, type, mayRepeat }) =>
      [false, true].map(async (resets) => {
        const callId = `${kind}${path}${resets ? "reset" : "end"}`;
        const step = createStep(kind, { resets, type });
        // A second request of the call gets a cut head as well.
        script.plan(callId, [step, step]);
        const answer = await callGateway(url, { callId, path });
        return { callId, answer, resets, mayRepeat, type };
      })
    );
    const { verdict } = CUT_HEADS[kind];
    for (const { callId, answer, ...details } of await Promise.all(calls)) {
      const { status, whole, body } = answer;
      const runs = script.runs.get(callId) ?? 0;
      t.ok(details.mayRepeat ? runs <= 2 : runs === 1, `${callId}: ${runs}`);
      const isServed = status === OK && whole;
      // A reset may overtake the answer, so only the failures are certain.
      if (details.resets && verdict === HEAD_VERDICTS.WHOLE) {
        t.ok(!isServed || body === CUT_HEAD_BODY, callId);
      } else if (verdict === HEAD_VERDICTS.WHOLE) {
        t.ok(isServed && body === CUT_HEAD_BODY, `${callId}: ${status}`);
      } else if (verdict === HEAD_VERDICTS.INVALID || details.resets) {
        const isFailure = status === BAD_GATEWAY && whole;
        // Nothing is known of a stream until its end, and it may begin before.
        const isBrokenOff = details.type !== "text/plain" && status === OK &&
          !whole;
        t.ok(isFailure || isBrokenOff, `${callId}: ${status} ${whole} ${body}`);
      } else if (details.type === "text/plain") {
        t.notOk(isServed && answer.isFramed, `${callId} is vouched for`);
      }
    }
  }
  t.ok(site.gateways[0]?.process.isRunning);
});

const IMPOSSIBLE_STATUS_KINDS = CUT_HEAD_KINDS.filter((kind) =>
  /^(status|switching|interim)_/.test(kind)
);

// Guards against an answer that is waited for until the time of its call is up: its
// status is that of an interim answer, and what follows its head begins no other one.
test("an answer with an impossible status is refused while its connection is open", async (t) => {
  const { script, url } = await startUnrulySite(t, { upstreams: UPSTREAMS });
  for (const kind of IMPOSSIBLE_STATUS_KINDS) {
    const calls = ROUTES.map(async ({ path, type }) => {
      const callId = `${kind}${path}`;
      const step = createStep(kind, { resets: false, type });
      const open = { ...step, staysOpen: true };
      script.plan(callId, [open, open]);
      const { status, whole } = await callGateway(url, { callId, path });
      t.equal(status, BAD_GATEWAY, callId);
      t.ok(whole, callId);
    });
    await Promise.all(calls);
  }
});

// Guards against a call that may be repeated and gets the failure of one upstream although
// others would answer it.
test("a call that may be repeated is answered by another upstream", async (t) => {
  const { script, url } = await startUnrulySite(t, { upstreams: UPSTREAMS });
  const kinds = CUT_HEAD_KINDS.filter((kind) =>
    CUT_HEADS[kind].verdict === HEAD_VERDICTS.INVALID
  );
  for (const kind of kinds) {
    for (const resets of [false, true]) {
      const callId = `${kind}-${resets}`;
      script.plan(callId, [createStep(kind, { resets, type: "text/plain" })]);
      const answer = await callGateway(url, { callId, path: "/read/" });
      t.equal(answer.status, OK, callId);
      t.equal(answer.body, `ran ${callId}`);
      t.equal(script.runs.get(callId), 2);
    }
  }
});

// Guards against a call that waits for upstreams in a backoff that ends after the time
// in which the call can still be sent.
test("a call that no upstream can get in its time is refused with the time of the next try", async (t) => {
  const { script, url } = await startUnrulySite(t, { upstreams: 2 });
  const step = createStep("end_in_header", {
    resets: false,
    type: "text/plain",
  });
  const answers: { callId: string; status: number; retryAfter: number }[] = [];
  for (let call = 0; call < 12; call++) {
    const callId = `cut-${call}`;
    script.plan(callId, [step, step]);
    const { status, retryAfter } = await callGateway(url, {
      callId,
      path: "/read/",
      headers: { "x-patience-ms": "1000" },
    });
    answers.push({ callId, status, retryAfter: Number(retryAfter ?? 0) });
  }
  for (const { callId, status } of answers) {
    const runs = script.runs.get(callId) ?? 0;
    t.equal(status, runs > 0 ? BAD_GATEWAY : UNAVAILABLE, callId);
  }
  const longest = Math.max(...answers.map(({ retryAfter }) => retryAfter));
  t.ok(longest > 0.5, "the caller is told when an upstream is tried again");
});

import { type IncomingHttpHeaders, request } from "node:http";
import { sleep } from "@mallowlift/core";
import { describeOutput, RUN_STEP } from "@mallowlift/mocks";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { callByHttp10 } from "./http10_caller.ts";
import { startTestSite } from "./start_test_site.ts";
import { callTurn, countRuns, findPrompt } from "./turn_caller.ts";
import { startUnrulySite } from "./unruly_site.ts";

/** Above the time for which a fake upstream that has ended is down, ms. */
const UPSTREAM_DOWN_MILLISECONDS = 500;

// Guards against a stream whose upstream crashed after the head of its answer, and
// which its caller and the history take for a complete one without events.
test("a stream that ends before its first event does not look complete", async (t) => {
  const running = await startTestSite(t);
  const [upstream] = running.upstreams;
  if (upstream === undefined) throw new Error("No upstream");
  upstream.faults.omitsFraming = true;
  const whole = await callTurn(running, { id: "whole" });
  t.ok(whole.whole, "the end of the connection completes a stream with events");
  upstream.faults.closesBetweenEvents = true;
  upstream.faults.closesAfter = 0;
  const cut = await callTurn(running, { id: "cut" });
  t.notOk(cut.status === 200 && cut.whole);
  t.equal(countRuns(running, "cut"), 1, "it may have run, so it runs once");
  upstream.faults.closesAfter = Infinity;
  const next = await callTurn(running, { id: "next", previous: "cut" });
  t.equal(next.status, 404, "a turn that was cut is not kept");
  await callTurn(running, { id: "last", previous: "whole" });
  const prompt = "input-whole;";
  t.equal(
    findPrompt(running, "last"),
    `${prompt}${describeOutput(prompt, 3)}input-last;`,
  );
});

// Guards against a stream without framing whose upstream crashed between two events, and
// which its caller and the history take for a complete one.
test("a stream without framing is not complete if its upstream has ended", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  for (const { faults } of running.upstreams) {
    faults.omitsFraming = true;
    faults.endsOn = "fatal";
    faults.endsAfterEvents = 2;
  }
  for (const id of ["fatal-1", "fatal-2", "fatal-3"]) {
    const cut = await callTurn(running, { id });
    t.equal(cut.status, 200, id);
    t.notOk(cut.whole, id);
    t.equal(countRuns(running, id), 1);
    const next = await callTurn(running, { id: `${id} next`, previous: id });
    t.equal(next.status, 404, "it is not kept");
    await sleep(UPSTREAM_DOWN_MILLISECONDS);
  }
  const whole = await callTurn(running, { id: "whole" });
  t.ok(whole.whole);
  const next = await callTurn(running, { id: "next", previous: "whole" });
  t.ok(next.whole);
});

// Guards against a resumable stream that is not resumed after such a crash.
test("a resumable stream without framing goes on elsewhere if its upstream has ended", async (t) => {
  const { url, upstreams } = await startTestSite(t, { upstreams: 2 });
  const [first, second] = upstreams;
  for (const { faults } of upstreams) {
    faults.omitsFraming = true;
    faults.endsAfterEvents = 2;
  }
  if (first === undefined || second === undefined) throw new Error("No site");
  const endsNext = (isEnding: boolean) => {
    for (const { faults } of upstreams) faults.endsOn = isEnding ? "fatal" : "";
  };
  endsNext(true);
  const answer = callGateway(url, {
    callId: "fatal",
    path: "/resumable-stream/x",
    body: "fatal",
  });
  while (first.runs.length + second.runs.length === 0) await sleep(1);
  endsNext(false);
  const { body, whole } = await answer;
  t.ok(whole);
  t.match(body, /^id: 1\n.*\n\nid: 2\n.*\n\nid: 3\n.*\n\n$/);
});

// Guards against an answer on a stream route that is not taken for a stream, so that
// what came before the crash of its upstream is sent with a length of its own.
test("a stream without a type that is cut does not look complete", async (t) => {
  const { url, upstreams } = await startTestSite(t);
  const [upstream] = upstreams;
  if (upstream === undefined) throw new Error("No upstream");
  upstream.faults.omitsFraming = true;
  upstream.faults.omitsType = true;
  const path = "/resumable-stream/x";
  const whole = await callGateway(url, { callId: "whole", path });
  t.ok(whole.whole);
  t.match(whole.body, /^id: 1\n.*\n\nid: 2\n.*\n\nid: 3\n.*\n\n$/);
  upstream.faults.closesAfter = 0;
  const cut = await callGateway(url, { callId: "cut", path });
  t.notOk(cut.status === 200 && cut.whole);
});

// Guards against a broken-off answer whose connection ends in order, which completes
// it for a caller that accepts no chunks.
test("a stream that is cut does not look complete to an HTTP/1.0 caller", async (t) => {
  const { url, upstreams } = await startTestSite(t);
  const [upstream] = upstreams;
  if (upstream === undefined) throw new Error("No upstream");
  const path = "/resumable-stream/x";
  const whole = await callByHttp10(url, { callId: "whole", path });
  t.ok(whole.whole);
  t.match(whole.text, /id: 3\n.*\n\n$/);
  upstream.faults.closesAfter = 2;
  const cut = await callByHttp10(url, { callId: "cut", path });
  t.match(cut.text, /^HTTP\/1.1 200 /);
  t.notOk(cut.whole);
});

// Guards against a gateway that closes the connections of its open calls in order
// when its time to stop has passed.
test("a stream that a stop cuts does not look complete to an HTTP/1.0 caller", async (t) => {
  const running = await startTestSite(t, { stopMilliseconds: 500 });
  const [upstream] = running.upstreams;
  const [gateway] = running.site.gateways;
  if (upstream === undefined || gateway === undefined) {
    throw new Error("No site");
  }
  upstream.faults.eventIntervalMilliseconds = 60_000;
  const path = "/resumable-stream/x";
  const cut = callByHttp10(running.url, { callId: "cut", path });
  while (upstream.writtenEvents === 0) await sleep(10);
  await gateway.process.stop();
  const { text, whole } = await cut;
  t.match(text, /id: 1\n/);
  t.notOk(whole);
});

/** Returns the headers of an answer and its body. */
function readAnswer(
  url: string,
  call: { readonly callId: string; readonly path: string },
): Promise<{ readonly headers: IncomingHttpHeaders; readonly body: string }> {
  const headers = { host: "a.example", "x-call-id": call.callId };
  return new Promise((resolve, reject) => {
    const sent = request(`${url}${call.path}`, { method: "POST", headers });
    sent.on("error", reject).on("response", (answer) => {
      let body = "";
      answer.on("data", (bytes) => body += String(bytes));
      answer.on("end", () => resolve({ headers: answer.headers, body }));
    });
    sent.end();
  });
}

// Guards against an answer that its connection ends, which its caller gets with a length
// of the gateway's own although the upstream may have crashed before its end.
test("an answer without framing gets none from the gateway", async (t) => {
  const { script, url } = await startUnrulySite(t, { upstreams: 1 });
  for (const path of ["/read/", "/write/"]) {
    const callId = `unframed${path}`;
    script.plan(callId, [{ ...RUN_STEP, isUnframed: true }]);
    const { headers, body } = await readAnswer(url, { callId, path });
    t.equal(body, `ran ${callId}`);
    t.equal(headers["content-length"], undefined);
    t.equal(headers["transfer-encoding"], undefined);
    t.equal(headers.connection, "close");
    const framedId = `framed${path}`;
    const framed = await readAnswer(url, { callId: framedId, path });
    t.equal(framed.headers["content-length"], String(framed.body.length));
  }
});

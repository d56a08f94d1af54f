import { sleep } from "@mallowlift/core";
import { describeOutput } from "@mallowlift/mocks";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { callByHttp10 } from "./http10_caller.ts";
import { startTestSite } from "./start_test_site.ts";
import { callTurn, countRuns, findPrompt } from "./turn_caller.ts";

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

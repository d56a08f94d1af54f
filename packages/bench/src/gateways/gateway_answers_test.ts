import { get } from "node:http";
import { type RoutingDocument, sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";
import { countRuns } from "./turn_caller.ts";

test("a refused call runs elsewhere, and only an idempotent call is sent again after a lost answer", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const [busy, free] = running.upstreams;
  if (busy === undefined || free === undefined) throw new Error("No upstreams");
  busy.faults.refusesRequests = true;
  const sent = await callGateway(url, { callId: "w1", path: "/write/x" });
  t.equal(sent.body, "ran w1");
  busy.faults.refusesRequests = false;
  for (const upstream of running.upstreams) upstream.faults.dropsAnswers = true;
  const lost = await callGateway(url, { callId: "w2", path: "/write/x" });
  t.equal(lost.status, 502);
  t.equal(countRuns(running, "w2"), 1);
  await sleep(300);
  const read = await callGateway(url, { callId: "r1", path: "/read/x" });
  t.equal(read.status, 502);
  t.equal(countRuns(running, "r1"), 2);
  const unknown = await callGateway(url, { callId: "n1", path: "/nowhere/" });
  t.equal(unknown.status, 404);
});

test("a silent upstream ends an attempt only if another attempt may follow", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  // Longer than the silence after which an idempotent request goes elsewhere.
  for (const upstream of running.upstreams) {
    upstream.faults.silentMilliseconds = 1_500;
  }
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const read = await callGateway(url, { callId: "r", path: "/read/x" });
  t.equal(read.status, 200);
  t.equal(read.body, "ran r");
  t.equal(countRuns(running, "r"), 2, "the route allows two attempts");
});

test("the highest document version wins, and an invalid document changes nothing", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const url = `${running.site.gateways[0]?.operatorsUrl}/v1/routing`;
  const put = async (document: RoutingDocument) =>
    (await fetch(url, { method: "PUT", body: JSON.stringify(document) }))
      .status;
  const withoutRoutes = { ...TEST_DOCUMENT, version: 5, routes: [] };
  t.equal(await put(withoutRoutes), 200);
  t.equal(await put({ ...TEST_DOCUMENT, version: 4 }), 200);
  t.equal(await put({ ...TEST_DOCUMENT, version: 5 }), 200);
  t.equal(await put({ ...TEST_DOCUMENT, version: 6, services: [] }), 400);
  t.same(await (await fetch(url)).json(), withoutRoutes);
  const callers = running.site.gateways[0]?.callersUrl ?? "";
  for (let round = 0; round < 100; round++) {
    const result = await callGateway(callers, {
      callId: `r${round}`,
      path: "/read/x",
    });
    if (result.status === 404) return t.pass("the route is gone");
    await sleep(50);
  }
  t.fail("the new document is not in force");
});

test("a large answer is streamed in full, and a truncated one does not look complete", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const whole = await callGateway(url, { callId: "l-1", path: "/read/large" });
  t.equal(whole.status, 200);
  t.ok(whole.whole);
  t.equal(whole.body.length, 20 * 1_048_576);
  t.ok(whole.body.endsWith("t"));
  for (const upstream of running.upstreams) upstream.faults.closesAfter = 10;
  const cut = await callGateway(url, { callId: "l-2", path: "/read/large" });
  t.equal(cut.status, 200);
  t.notOk(cut.whole);
  t.equal(
    countRuns(running, "l-2"),
    1,
    "an answer that has begun is not retried",
  );
});

test("a caller that reads slowly gets the whole answer", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const size = 20 * 1_048_576;
  const read = await new Promise<number>((resolve) => {
    get(`${url}/read/large`, {
      agent: false,
      headers: { host: "a.example", "x-call-id": "s-1" },
    }, (answer) => {
      t.equal(answer.headers["content-length"], String(size));
      // Reading later makes the gateway pause the upstream (backpressure).
      setTimeout(() => {
        let length = 0;
        answer.on("data", (bytes: Uint8Array) => length += bytes.length);
        answer.on("close", () => resolve(length));
      }, 500);
    });
  });
  t.equal(read, size);
});

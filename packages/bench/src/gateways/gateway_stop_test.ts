import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";
import { callTurn, countRuns } from "./turn_caller.ts";

/** Resolves with all that a connection received when it closes. */
async function readUntilClose(connection: Socket): Promise<string> {
  let text = "";
  connection.on("data", (bytes) => text += String(bytes));
  connection.on("error", () => undefined);
  if (!connection.closed) {
    await once(connection, "close").catch(() => undefined);
  }
  return text;
}

test("a stopping gateway finishes its streams", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const { site, upstreams } = running;
  for (const upstream of upstreams) {
    upstream.events = 20;
    upstream.faults.eventIntervalMilliseconds = 50;
  }
  const stream = callTurn(running, { id: "a" });
  while (upstreams.every((upstream) => upstream.runs.length === 0)) {
    await sleep(10);
  }
  const gateway = site.gateways[0];
  t.equal(await gateway?.process.stop(), 0);
  const result = await stream;
  t.equal(result.status, 200);
  t.ok(result.whole);
});

test("a stopping gateway accepts no late request that it might have to abort", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const { site } = running;
  const [gateway] = site.gateways;
  if (gateway === undefined) throw new Error("The site has no gateway");
  // The stream lasts well beyond the time when the gateway stops accepting requests.
  for (const upstream of running.upstreams) {
    upstream.events = 100;
    upstream.faults.eventIntervalMilliseconds = 50;
  }
  let isStreaming = true;
  const longStream = callTurn(running, { id: "long" }).finally(() => {
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
  t.ok(isStreaming, "late requests are refused while the stream still runs");
  const result = await longStream;
  t.ok(result.whole, "the stream is complete");
  await stopped;
});

// Guards against a request that a stopping gateway reads between its last look for
// open requests and the close of all connections: it ran and got no answer.
test("a request that crosses the close of a stopping gateway is answered if it runs", async (t) => {
  const running = await startTestSite(t, { upstreams: 2, gateways: 8 });
  for (const upstream of running.upstreams) {
    upstream.faults.silentMilliseconds = 300;
  }
  const { gateways } = running.site;
  const connections = gateways.map(({ callersUrl }) =>
    connect(Number(new URL(callersUrl).port), "127.0.0.1")
  );
  await Promise.all(connections.map((each) => once(each, "connect")));
  const stopped = gateways.map((gateway) => gateway.process.stop());
  // Gateways accept requests for 300 ms and close all connections soon after; each
  // gets a single request, a little later than the one before.
  await sleep(300);
  const answers: Promise<string>[] = [];
  for (const [number, connection] of connections.entries()) {
    answers.push(readUntilClose(connection));
    connection.write(
      `POST /read/x HTTP/1.1\r\nhost: a.example\r\n` +
        `x-call-id: crossing-${number}\r\ncontent-length: 0\r\n\r\n`,
    );
    await sleep(8);
  }
  const texts = await Promise.all(answers);
  t.same(await Promise.all(stopped), gateways.map(() => 0));
  const lost = texts.filter((text, number) =>
    countRuns(running, `crossing-${number}`) > 0 &&
    !text.startsWith("HTTP/1.1 200")
  );
  t.same(lost, []);
});

test("the upstream connection closes when the caller disconnects", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  const { upstreams } = running;
  for (const upstream of upstreams) {
    upstream.events = 10_000;
    upstream.faults.eventIntervalMilliseconds = 10;
  }
  const disconnect = new AbortController();
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const call = callGateway(url, {
    callId: "a",
    path: "/stream/x",
    signal: disconnect.signal,
  });
  while (upstreams.every((upstream) => upstream.runs.length === 0)) {
    await sleep(10);
  }
  disconnect.abort();
  await call;
  while (upstreams.every((upstream) => upstream.left.length === 0)) {
    await sleep(10);
  }
  t.pass("the upstream saw its connection close");
});

import { get } from "node:http";
import type { RoutingDocument } from "@mallowlift/core";
import { sleep } from "@mallowlift/core";
import { describeOutput } from "@mallowlift/mocks";
import { type Test, test } from "tap";
import { callGateway, type CallSeen } from "./gateway_caller.ts";
import { startTestSite, type TestSite } from "./start_test_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";

type Running = TestSite;

async function start(
  t: Test,
  gateways: number,
  waitMilliseconds?: number,
  stores = 3,
): Promise<Running> {
  const plan = { gateways, stores, upstreams: 2, waitMilliseconds };
  return await startTestSite(t, plan);
}

function askTurn(
  { site }: Running,
  turn: {
    readonly id: string;
    readonly previous?: string;
    readonly gateway?: number;
    readonly budget?: number;
    readonly program?: string;
  },
): Promise<CallSeen> {
  const url = site.gateways[turn.gateway ?? 0]?.callersUrl ?? "";
  return callGateway(url, {
    callId: turn.id,
    path: "/stream/x",
    body: `input-${turn.id};`,
    headers: {
      "x-program": turn.program ?? "p",
      "x-most-tokens": "6",
      ...(turn.budget === undefined
        ? {}
        : { "x-token-budget": String(turn.budget) }),
      ...(turn.previous === undefined
        ? {}
        : { "x-previous-turn": turn.previous }),
    },
  });
}

/** Asks again for as long as the answer promises that nothing ran. */
async function askTurnUntilServed(
  running: Running,
  turn: Parameters<typeof askTurn>[1],
): Promise<CallSeen> {
  for (let round = 0; round < 100; round++) {
    const seen = await askTurn(running, { ...turn, id: `${turn.id}-${round}` });
    if (seen.status === 200 && seen.whole) return seen;
    await sleep(100);
  }
  throw new Error("The turn was never served");
}

function findPrompt({ upstreams }: Running, callId: string): string {
  for (const upstream of upstreams) {
    for (const run of upstream.runs) if (run.callId === callId) return run.body;
  }
  return "not run";
}

function countRuns({ upstreams }: Running, callId: string): number {
  let count = 0;
  for (const upstream of upstreams) {
    count += upstream.runs.filter((run) => run.callId === callId).length;
  }
  return count;
}

test("a history grows over gateways, forks, and is never mixed", async (t) => {
  const running = await start(t, 2);
  t.equal((await askTurn(running, { id: "a" })).status, 200);
  const promptA = "input-a;";
  t.equal(findPrompt(running, "a"), promptA);
  const outputA = describeOutput(promptA, 3);
  await askTurn(running, { id: "b", previous: "a", gateway: 1 });
  const promptB = `${promptA}${outputA}input-b;`;
  t.equal(findPrompt(running, "b"), promptB);
  await askTurn(running, { id: "c", previous: "a" });
  t.equal(findPrompt(running, "c"), `${promptA}${outputA}input-c;`);
  await askTurn(running, { id: "d", previous: "b" });
  const outputB = describeOutput(promptB, 3);
  t.equal(findPrompt(running, "d"), `${promptB}${outputB}input-d;`);
  const unknown = await askTurn(running, { id: "e", previous: "nowhere" });
  t.equal(unknown.status, 404);
  t.equal(countRuns(running, "e"), 0);
});

test("a budget spans gateways, and a refused turn never runs", async (t) => {
  const running = await start(t, 2);
  const budget = 10;
  t.equal((await askTurn(running, { id: "a", budget })).status, 200);
  const second = await askTurn(running, { id: "b", budget, gateway: 1 });
  t.equal(second.status, 200);
  const third = await askTurn(running, { id: "c", budget });
  t.equal(third.status, 402);
  t.equal(countRuns(running, "c"), 0);
  const other = await askTurn(running, { id: "d", budget, program: "q" });
  t.equal(other.status, 200);
});

test("a broken stream does not look whole, is not kept, and counts what was sent", async (t) => {
  const running = await start(t, 1);
  for (const upstream of running.upstreams) upstream.faults.cutsAfter = 2;
  const seen = await askTurn(running, { id: "a", budget: 5 });
  t.equal(seen.status, 200);
  t.notOk(seen.whole);
  t.equal(countRuns(running, "a"), 1, "a stream runs at most once");
  for (const upstream of running.upstreams) upstream.faults.cutsAfter = 99;
  t.equal((await askTurn(running, { id: "b", previous: "a" })).status, 404);
  await sleep(200);
  t.equal((await askTurn(running, { id: "c", budget: 5 })).status, 200);
  t.equal((await askTurn(running, { id: "d", budget: 5 })).status, 402);
});

test("only what did not run is refused, and only what may repeat is sent again", async (t) => {
  const running = await start(t, 1);
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const [one, two] = running.upstreams;
  if (one === undefined || two === undefined) throw new Error("No upstreams");
  one.faults.isFull = true;
  const sent = await callGateway(url, { callId: "w1", path: "/write/x" });
  t.equal(sent.body, "ran w1");
  one.faults.isFull = false;
  for (const upstream of running.upstreams) upstream.faults.losesAnswers = true;
  const lost = await callGateway(url, { callId: "w2", path: "/write/x" });
  t.equal(lost.status, 502);
  t.equal(countRuns(running, "w2"), 1);
  await sleep(300);
  const read = await callGateway(url, { callId: "r1", path: "/read/x" });
  t.equal(read.status, 502);
  t.equal(countRuns(running, "r1"), 2);
  const nowhere = await callGateway(url, { callId: "n1", path: "/nowhere/" });
  t.equal(nowhere.status, 404);
});

test("silence ends an attempt only where another one may follow", async (t) => {
  const running = await start(t, 1);
  // Longer than the silence that sends an idempotent request elsewhere.
  for (const upstream of running.upstreams) {
    upstream.faults.silentMilliseconds = 1_500;
  }
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const read = await callGateway(url, { callId: "r", path: "/read/x" });
  t.equal(read.status, 200);
  t.equal(read.body, "ran r");
  t.equal(countRuns(running, "r"), 2, "the route allows two attempts");
});

test("what callers were told survives the loss of any store, its disk, and all power", async (t) => {
  const running = await start(t, 2);
  const { site } = running;
  let previous = "";
  let prompt = "";
  let round = 0;
  const grow = async () => {
    const id = `t${round++}`;
    await askTurnUntilServed(running, {
      id,
      previous: previous === "" ? undefined : previous,
      gateway: round % 2,
    });
    const run = running.upstreams.flatMap((upstream) => upstream.runs)
      .findLast((found) => found.callId.startsWith(`${id}-`));
    const expected = `${prompt}input-${run?.callId};`;
    t.equal(run?.body, expected);
    previous = run?.callId ?? "";
    prompt = expected + describeOutput(expected, 3);
  };
  await grow();
  for (const store of site.stores) {
    await site.kill(store, true);
    await grow();
    site.restart(store);
    await site.waitUntilReady();
    await grow();
  }
  for (const daemon of site.daemons) daemon.process.signal("SIGKILL");
  for (const daemon of site.daemons) await daemon.process.waitForExit();
  for (const daemon of site.daemons) site.restart(daemon);
  await site.waitUntilReady();
  await grow();
});

test("a gateway that is asked to stop finishes its streams", async (t) => {
  const running = await start(t, 1);
  const { site, upstreams } = running;
  for (const upstream of upstreams) {
    upstream.events = 20;
    upstream.faults.pauseMilliseconds = 50;
  }
  const stream = askTurn(running, { id: "a" });
  while (upstreams.every((upstream) => upstream.runs.length === 0)) {
    await sleep(10);
  }
  const gateway = site.gateways[0];
  t.equal(await gateway?.process.stop(), 0);
  const seen = await stream;
  t.equal(seen.status, 200);
  t.ok(seen.whole);
});

test("a gateway that stops takes no late request that it might have to cut", async (t) => {
  const running = await start(t, 1);
  const { site } = running;
  const [gateway] = site.gateways;
  if (gateway === undefined) throw new Error("No gateway");
  // The stream goes on well after the gateway has stopped taking requests.
  for (const upstream of running.upstreams) {
    upstream.events = 100;
    upstream.faults.pauseMilliseconds = 50;
  }
  let isStreaming = true;
  const streaming = askTurn(running, { id: "long" }).finally(() => {
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
  t.ok(isStreaming, "late requests are turned away while a stream goes on");
  const seen = await streaming;
  t.ok(seen.whole, "the stream is finished");
  await stopped;
});

test("a caller that leaves is felt at the upstream", async (t) => {
  const running = await start(t, 1);
  const { upstreams } = running;
  for (const upstream of upstreams) {
    upstream.events = 10_000;
    upstream.faults.pauseMilliseconds = 10;
  }
  const leave = new AbortController();
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const call = callGateway(url, {
    callId: "a",
    path: "/stream/x",
    signal: leave.signal,
  });
  while (upstreams.every((upstream) => upstream.runs.length === 0)) {
    await sleep(10);
  }
  leave.abort();
  await call;
  while (upstreams.every((upstream) => upstream.left.length === 0)) {
    await sleep(10);
  }
  t.pass("the upstream saw its connection close");
});

test("the highest document wins, and an invalid one changes nothing", async (t) => {
  const running = await start(t, 1);
  const url = `${running.site.gateways[0]?.operatorsUrl}/v1/routing`;
  const put = async (document: RoutingDocument) =>
    (await fetch(url, { method: "PUT", body: JSON.stringify(document) }))
      .status;
  const without = { ...TEST_DOCUMENT, version: 5, routes: [] };
  t.equal(await put(without), 200);
  t.equal(await put({ ...TEST_DOCUMENT, version: 4 }), 200);
  t.equal(await put({ ...TEST_DOCUMENT, version: 5 }), 200);
  t.equal(await put({ ...TEST_DOCUMENT, version: 6, services: [] }), 400);
  t.same(await (await fetch(url)).json(), without);
  const callers = running.site.gateways[0]?.callersUrl ?? "";
  for (let round = 0; round < 100; round++) {
    const seen = await callGateway(callers, {
      callId: `r${round}`,
      path: "/read/x",
    });
    if (seen.status === 404) return t.pass("the route is gone");
    await sleep(50);
  }
  t.fail("the new document is not in force");
});

test("after a loss of everything the first request that is taken is served", async (t) => {
  const running = await start(t, 1, 60_000);
  const { site } = running;
  const url = site.gateways[0]?.callersUrl ?? "";
  for (const daemon of site.daemons) daemon.process.signal("SIGKILL");
  for (const daemon of site.daemons) await daemon.process.waitForExit();
  for (const daemon of site.daemons) site.restart(daemon);
  let status = 0;
  while (status === 0) {
    const seen = await callGateway(url, { callId: "first", path: "/read/x" });
    status = seen.status;
    await sleep(20);
  }
  t.equal(status, 200);
});

test("a spare store that lost its disk is ready again", async (t) => {
  const { site } = await start(t, 1, undefined, 4);
  const spare = site.stores.at(-1);
  if (spare === undefined) throw new Error("There is no store");
  await site.kill(spare, true);
  site.restart(spare);
  t.ok(await site.waitUntilCounts(spare, 30_000));
});

test("an answer of any size is passed on, and one that is cut does not look whole", async (t) => {
  const running = await start(t, 1);
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const whole = await callGateway(url, { callId: "l-1", path: "/read/large" });
  t.equal(whole.status, 200);
  t.ok(whole.whole);
  t.equal(whole.body.length, 20 * 1_048_576);
  t.ok(whole.body.endsWith("t"));
  for (const upstream of running.upstreams) upstream.faults.cutsAfter = 10;
  const cut = await callGateway(url, { callId: "l-2", path: "/read/large" });
  t.equal(cut.status, 200);
  t.notOk(cut.whole);
  t.equal(countRuns(running, "l-2"), 1, "what was begun is not begun again");
});

test("a caller that reads slowly gets the whole answer", async (t) => {
  const running = await start(t, 1);
  const url = running.site.gateways[0]?.callersUrl ?? "";
  const size = 20 * 1_048_576;
  const read = await new Promise<number>((resolve) => {
    get(`${url}/read/large`, {
      agent: false,
      headers: { host: "a.example", "x-call-id": "s-1" },
    }, (answer) => {
      t.equal(answer.headers["content-length"], String(size));
      // The gateway has to stop reading from the upstream meanwhile.
      setTimeout(() => {
        let length = 0;
        answer.on("data", (bytes: Uint8Array) => length += bytes.length);
        answer.on("close", () => resolve(length));
      }, 500);
    });
  });
  t.equal(read, size);
});

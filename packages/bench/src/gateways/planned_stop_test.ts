import { once } from "node:events";
import { readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway, type CallResult } from "./gateway_caller.ts";
import { startTestSite, type TestSite } from "./start_test_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";
import { callTurn, countRuns } from "./turn_caller.ts";

const STOP_MILLISECONDS = 3_000;
/** Long enough that requests are accepted almost until the stop ends. */
const DRAIN_MILLISECONDS = 2_700;
const ROUND_MILLISECONDS = 500;
/** Timeout of the routes: longer than a stop takes. */
const ROUTE_TIMEOUT_MILLISECONDS = 4_500;
/** Work shorter and longer than what is left of a stop, ms. */
const WORK_MILLISECONDS = [100, 800, 2_000, 4_000] as const;
/** Time that a caller who is in a hurry allows in addition to the work, ms. */
const PATIENCE_MILLISECONDS = 1_500;
const PATHS = ["/read/", "/write/", "/resumable-stream/", "/plain-stream/"];
const ALREADY_STOPPING = /daemon: Stop signal ignored/g;

const DOCUMENT = {
  ...TEST_DOCUMENT,
  routes: [
    ...TEST_DOCUMENT.routes.map((route) => ({
      ...route,
      timeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
    })),
    ...TEST_DOCUMENT.routes.filter(({ name }) => name === "resumable").map(
      (route) => ({
        ...route,
        name: "plain-stream",
        pathPrefix: "/plain-stream/",
        isResumable: false,
        timeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
      }),
    ),
  ],
};

const PLAN = {
  upstreams: 3,
  stopMilliseconds: STOP_MILLISECONDS,
  gatewaySettings: {
    drain_milliseconds: DRAIN_MILLISECONDS,
    // No upstream is given up because of its long work.
    silent_milliseconds: 2 * ROUTE_TIMEOUT_MILLISECONDS,
  },
  document: DOCUMENT,
};

/** A request and what its caller got. */
interface SentRequest {
  readonly callId: string;
  readonly path: string;
  /** True if the caller's own time was over when it ended. */
  readonly isTimedOut: boolean;
  readonly result: CallResult;
}

/** Opens a connection on which nothing is sent yet. */
async function openConnection(url: string): Promise<Socket> {
  const socket = connect(Number(new URL(url).port), "127.0.0.1");
  socket.on("error", () => undefined);
  await once(socket, "connect");
  return socket;
}

/** Sends one request that takes its upstream a time. */
async function sendWork(
  running: TestSite,
  call: {
    readonly callId: string;
    readonly path: string;
    readonly work: number;
    readonly patience?: number;
    readonly connection?: Socket;
  },
): Promise<SentRequest> {
  const { callId, path, work, patience, connection } = call;
  const sentAt = performance.now();
  const result = await callGateway(running.url, {
    callId,
    path: `${path}x?work=${work}`,
    body: "body",
    headers: patience === undefined
      ? {}
      : { "x-patience-ms": String(patience) },
    ...(connection === undefined ? {} : { connection }),
  });
  const isTimedOut = patience !== undefined &&
    performance.now() - sentAt >= patience;
  return { callId, path, isTimedOut, result };
}

/** All kinds of requests of one round, each on a new and on an open connection. */
function sendRound(
  running: TestSite,
  round: number,
  connections: Socket[],
): Promise<SentRequest>[] {
  const sent: Promise<SentRequest>[] = [];
  for (const path of PATHS) {
    for (const work of WORK_MILLISECONDS) {
      for (const patience of [undefined, work + PATIENCE_MILLISECONDS]) {
        const name = `${path}${work}-${patience ?? "any"}-${round}`;
        const call = {
          path,
          work,
          ...(patience === undefined ? {} : { patience }),
        };
        sent.push(sendWork(running, { ...call, callId: `new${name}` }));
        const connection = connections.pop();
        if (connection === undefined || connection.destroyed) continue;
        sent.push(
          sendWork(running, { ...call, callId: `kept${name}`, connection }),
        );
      }
    }
  }
  return sent;
}

async function waitUntilRunning(
  running: TestSite,
  callIds: readonly string[],
): Promise<void> {
  while (callIds.some((callId) => countRuns(running, callId) === 0)) {
    await sleep(10);
  }
}

function isAnswered({ result }: SentRequest): boolean {
  return result.status !== 0 && result.whole;
}

function listLeft({ upstreams }: TestSite): readonly string[] {
  return upstreams.flatMap((upstream) => upstream.left);
}

function describe(sent: readonly SentRequest[]): readonly string[] {
  return sent.map(({ callId, result }) =>
    `${callId}: ${result.status}${result.whole ? "" : ", cut"}`
  );
}

// Guards against requests that a stopping gateway takes although it cannot finish
// them, and closes without an answer when its time is up.
test("every request that is read during a stop is answered", async (t) => {
  const running = await startTestSite(t, PLAN);
  const [gateway] = running.site.gateways;
  if (gateway === undefined) throw new Error("The site has no gateway");
  const rounds = Math.floor(STOP_MILLISECONDS / ROUND_MILLISECONDS);
  const connections = await Promise.all(
    Array.from(
      { length: rounds * PATHS.length * WORK_MILLISECONDS.length * 2 },
      () => openConnection(running.url),
    ),
  );
  const open = PATHS.map((path) =>
    sendWork(running, { callId: `open${path}`, path, work: 4_000 })
  );
  await waitUntilRunning(running, PATHS.map((path) => `open${path}`));
  const startedAt = performance.now();
  const stopped = gateway.process.stop();
  const sent: Promise<SentRequest>[] = [];
  for (let round = 0; gateway.process.isRunning && round < rounds; round++) {
    sent.push(...sendRound(running, round, connections));
    const next = startedAt + (round + 1) * ROUND_MILLISECONDS;
    await sleep(Math.max(0, next - performance.now()));
  }
  const opened = await Promise.all(open);
  const results = await Promise.all(sent);
  t.equal(await stopped, 0);
  const all = [...opened, ...results];
  const hasRun = ({ callId }: SentRequest) => countRuns(running, callId) > 0;
  const log = readFileSync(gateway.process.plan.logPath, "utf8");
  // The gateway logs each request that it has read.
  const wasRead = (each: SentRequest) =>
    hasRun(each) || log.includes(`"call":"${each.callId}"`);
  const lost = all.filter((each) =>
    !isAnswered(each) && !each.isTimedOut && wasRead(each)
  );
  t.comment(
    `${all.length} requests, ${all.filter(hasRun).length} ran, ${
      all.filter((each) => each.result.status === 200).length
    } served, ${
      all.filter((each) => each.result.status === 503).length
    } refused, ${
      all.filter((each) => each.result.status === 502).length
    } unknown, ${
      all.filter((each) => each.result.status === 504).length
    } timed out, ${
      all.filter((each) => each.result.status === 0).length
    } not read, ${lost.length} lost`,
  );
  t.same(describe(lost), []);
  const broken = results.filter((each) =>
    each.result.status !== 0 && !isAnswered(each) && !each.isTimedOut
  );
  t.same(describe(broken), [], "no answer is cut");
  for (const { callId, result } of opened) {
    t.equal(result.status, 502, callId);
    t.ok(listLeft(running).includes(callId), "the upstream's work stopped");
  }
  const logged = log.split("\n").filter((line) =>
    line.includes("calls: Call ended by stop")
  );
  const unrepeatable = results.filter(({ path }) => path !== "/read/");
  const isEndedByStop = ({ callId }: SentRequest) =>
    logged.some((line) => line.includes(`"call":"${callId}"`));
  t.same(
    describe(
      unrepeatable.filter((each) =>
        each.result.status === 502 || isEndedByStop(each)
      ),
    ),
    [],
    "what may not be repeated is admitted only if it can be finished",
  );
  t.ok(unrepeatable.some(({ result }) => result.status === 200));
  t.ok(unrepeatable.some(({ result }) => result.status === 503));
  const refused = all.filter(({ result }) => result.status === 503);
  t.ok(
    refused.every(({ result }) => result.retryAfter !== undefined),
    "a refused caller is told when to come back",
  );
  // A refused request must not run later either.
  await sleep(ROUND_MILLISECONDS);
  t.same(describe(refused.filter(hasRun)), [], "what got 503 has not run");
  for (const each of opened) {
    t.ok(isEndedByStop(each), `${each.callId} is logged`);
  }
  t.match(log, /calls: Caller server stopped/);
});

// Guards against a supervisor that repeats its signal, which ended the process and
// cut every open request.
test("signals amid a stop change nothing", async (t) => {
  const running = await startTestSite(t, PLAN);
  const [gateway] = running.site.gateways;
  if (gateway === undefined) throw new Error("The site has no gateway");
  const open = PATHS.map((path) =>
    sendWork(running, { callId: `open${path}`, path, work: 1_000 })
  );
  await waitUntilRunning(running, PATHS.map((path) => `open${path}`));
  const stopped = gateway.process.stop();
  for (const signal of ["SIGHUP", "SIGTERM", "SIGHUP", "SIGTERM"] as const) {
    await sleep(100);
    gateway.process.signal(signal);
  }
  for (const { callId, result } of await Promise.all(open)) {
    t.equal(result.status, 200, callId);
    t.ok(result.whole);
  }
  t.equal(await stopped, 0);
  const log = readFileSync(gateway.process.plan.logPath, "utf8");
  t.equal(log.match(ALREADY_STOPPING)?.length, 2);
});

// Guards against roles that count their time to stop one after another, so that the
// process is killed while the last one still has open requests.
test("a daemon of two roles answers what it has read", async (t) => {
  for (const gatewayRoles of ["gateway,store", "store,gateway"]) {
    const running = await startTestSite(t, {
      ...PLAN,
      stores: 2,
      gatewayRoles,
    });
    const [gateway] = running.site.gateways;
    if (gateway === undefined) throw new Error("The site has no gateway");
    const calls = [300, 1_000, 4_000].flatMap((work) =>
      PATHS.map((path) =>
        sendWork(running, { callId: `${work}${path}`, path, work })
      )
    );
    await waitUntilRunning(
      running,
      PATHS.flatMap((path) => [`300${path}`, `1000${path}`, `4000${path}`]),
    );
    t.equal(await gateway.process.stop(), 0);
    for (const { callId, result } of await Promise.all(calls)) {
      t.equal(result.status, callId.startsWith("4000") ? 502 : 200, callId);
      t.ok(result.whole);
    }
  }
});

// Guards against requests that wait for something other than an upstream when a
// stop ends, and that were closed without an answer.
test("requests that wait for a store or for their body are answered", async (t) => {
  const running = await startTestSite(t, {
    ...PLAN,
    waitMilliseconds: 20_000,
  });
  const { site } = running;
  const [gateway] = site.gateways;
  if (gateway === undefined) throw new Error("The site has no gateway");
  for (const store of site.stores) await site.kill(store);
  const turns = ["a", "b", "c"].map((id) => callTurn(running, { id }));
  const connection = await openConnection(running.url);
  const partial = callGateway(running.url, {
    callId: "partial",
    path: "/write/x",
    headers: { "content-length": "1000" },
    body: "part",
    connection,
  });
  await sleep(ROUND_MILLISECONDS);
  t.equal(await gateway.process.stop(), 0);
  for (const result of await Promise.all([...turns, partial])) {
    t.equal(result.status, 503);
    t.ok(result.whole);
  }
  t.same(running.upstreams.flatMap((upstream) => upstream.runs), []);
});

// Guards against a stopping gateway that resets a connection whose request it refuses
// before it has read the body, so that the caller loses the answer.
test("a request whose body is still on its way gets its refusal", async (t) => {
  const running = await startTestSite(t, PLAN);
  const [gateway] = running.site.gateways;
  if (gateway === undefined) throw new Error("The site has no gateway");
  const connection = await openConnection(running.url);
  let text = "";
  connection.on("data", (bytes) => text += String(bytes));
  const stopped = gateway.process.stop();
  await sleep(ROUND_MILLISECONDS);
  const parts = 20;
  const part = "x".repeat(20_000);
  connection.write(
    `POST /write/x HTTP/1.1\r\nhost: a.example\r\nx-call-id: slow-body\r\n` +
      `content-length: ${parts * part.length}\r\n\r\n`,
  );
  for (let number = 0; number < parts; number++) {
    connection.write(part);
    await sleep(20);
  }
  if (!connection.closed) await once(connection, "close");
  t.match(text, /^HTTP\/1.1 503 /);
  t.match(text, /"not_run":true/);
  t.equal(countRuns(running, "slow-body"), 0);
  t.equal(await stopped, 0);
});

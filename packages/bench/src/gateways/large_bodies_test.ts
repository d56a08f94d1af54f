/**
 * Guards against requests whose bytes fill the memory of a gateway. 100 callers
 * with bodies of 4 MB ended the process with all its open requests.
 */

import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { performance } from "node:perf_hooks";
import { hashText, type RoutingDocument, sleep } from "@mallowlift/core";
import { test } from "tap";
import {
  callGateway,
  type CallRequest,
  type CallResult,
} from "./gateway_caller.ts";
import {
  startTestSite,
  type TestSite,
  type TestSitePlan,
} from "./start_test_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";

const CALLERS = 100;
const BODY = Buffer.alloc(4_000_000, "b");
/** Memory of the smallest instances, MB. */
const INSTANCE_MEGABYTES = 200;
/** Time that the upstream takes, ms. */
const WORK_MILLISECONDS = 800;
/** Attempts of a caller that comes back as told: more than it needs. */
const MAX_ATTEMPTS = 40;
const SMALL_INTERVAL_MILLISECONDS = 100;
const NODE_OPTIONS = [
  "--max-old-space-size=110",
  "--max-semi-space-size=1",
  "--optimize-for-size",
  "--single-threaded-gc",
];
const DOCUMENT: RoutingDocument = {
  ...TEST_DOCUMENT,
  limits: { ...TEST_DOCUMENT.limits, maxBodyBytes: 4_194_304 },
};
const CHUNKED = { "transfer-encoding": "chunked" };

async function startSite(
  t: Parameters<typeof startTestSite>[0],
  plan: TestSitePlan = {},
): Promise<TestSite> {
  const running = await startTestSite(t, {
    stores: 1,
    upstreams: 2,
    nodeOptions: NODE_OPTIONS,
    document: DOCUMENT,
    ...plan,
    // Upstreams that take longer than the default would count as silent.
    gatewaySettings: {
      silent_milliseconds: 10 * WORK_MILLISECONDS,
      ...plan.gatewaySettings,
    },
  });
  for (const { faults } of running.upstreams) {
    faults.silentMilliseconds = WORK_MILLISECONDS;
  }
  return running;
}

/** Largest memory that the gateway has had, MB. */
function readPeakMegabytes({ site }: TestSite): number {
  const pid = site.gateways[0]?.process.pid;
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / 1_024;
}

async function readMetric(running: TestSite, name: string): Promise<number> {
  const [gateway] = running.site.gateways;
  const url = gateway?.healthUrl.replace("/healthz", "/metrics") ?? "";
  const text = await (await fetch(url)).text();
  const line = text.split("\n").find((line) => line.startsWith(`${name} `));
  return Number(line?.split(" ")[1] ?? NaN);
}

/** Ids of all calls that ran. */
function listRuns({ upstreams }: TestSite): ReadonlySet<string> {
  return new Set(
    upstreams.flatMap(({ runs }) => runs.map(({ callId }) => callId)),
  );
}

interface Attempt {
  readonly callId: string;
  readonly result: CallResult;
}

/** Calls until it is served, and waits as told between attempts. */
async function callAsTold(url: string, call: CallRequest): Promise<Attempt[]> {
  const attempts: Attempt[] = [];
  while (attempts.length < MAX_ATTEMPTS) {
    const callId = `${call.callId}-${attempts.length}`;
    const result = await callGateway(url, { ...call, callId });
    attempts.push({ callId, result });
    if (result.status !== 503) break;
    await sleep(Number(result.retryAfter) * 1_000);
  }
  return attempts;
}

/** Calls with small bodies until `isOver`; returns their answers. */
async function callSmall(
  url: string,
  isOver: () => boolean,
): Promise<CallResult[]> {
  const calls: Promise<CallResult>[] = [];
  while (!isOver()) {
    const callId = `small-${calls.length}`;
    calls.push(callGateway(url, { callId, path: "/read/", body: "small" }));
    await sleep(SMALL_INTERVAL_MILLISECONDS);
  }
  return await Promise.all(calls);
}

function describeCounts(attempts: readonly Attempt[]): string {
  const counts = new Map<string, number>();
  for (const { result } of attempts) {
    const key = `${result.status}${result.whole ? "" : " cut"}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(([key, count]) => `${count} of ${key}`).join(", ");
}

/** Checks that each attempt was answered truly and each caller was served. */
function checkAttempts(
  t: Parameters<typeof startTestSite>[0],
  running: TestSite,
  attempts: readonly (readonly Attempt[])[],
): void {
  const all = attempts.flat();
  const runs = listRuns(running);
  t.comment(describeCounts(all));
  const untrue = all.filter(({ callId, result }) => {
    if (!result.whole) return true;
    if (result.status === 200) return !runs.has(callId);
    const isRefusal = result.status === 503 && Number(result.retryAfter) > 0;
    return !isRefusal || runs.has(callId);
  });
  t.same(
    untrue.map(({ callId, result }) => ({ callId, status: result.status })),
    [],
  );
  const served = attempts.filter((tries) =>
    tries.at(-1)?.result.status === 200
  );
  t.equal(served.length, attempts.length, "all are served in the end");
  const peak = readPeakMegabytes(running);
  t.ok(peak <= INSTANCE_MEGABYTES, `${peak} MB`);
  t.comment(`${Math.round(peak)} MB`);
  t.ok(running.site.gateways[0]?.process.isRunning);
}

for (const path of ["/read/", "/write/"]) {
  for (const [framing, headers] of [["length", {}], ["chunks", CHUNKED]]) {
    // Guards against a limit of requests that bounds no bytes.
    test(`large bodies at once (${path}, ${framing}) stay within the memory of an instance`, async (t) => {
      const running = await startSite(t);
      let isOver = false;
      const small = callSmall(running.url, () => isOver);
      const calls = Array.from(
        { length: CALLERS },
        (_, number) =>
          callAsTold(running.url, {
            callId: `c-${number}`,
            path,
            body: BODY,
            headers: headers as Record<string, string>,
          }),
      );
      const attempts = await Promise.all(calls);
      isOver = true;
      const smallAnswers = await small;
      t.ok(smallAnswers.every(({ status }) => status === 200), "small ones");
      checkAttempts(t, running, attempts);
      const partial = running.upstreams.flatMap(({ runs }) => runs).filter((
        { callId, body },
      ) => callId.startsWith("c-") && body.length !== BODY.length);
      t.equal(partial.length, 0, "bodies arrive whole");
    });
  }
}

// Guards against one workspace whose bodies take all the room.
test("a workspace that holds little is served beside a greedy one", async (t) => {
  const quota = { ratePerSecond: 0, burst: 0 };
  const running = await startSite(t, {
    document: {
      ...DOCUMENT,
      workspaces: [
        { name: "north", keyDigests: [hashText("north-1")], ...quota },
        { name: "south", keyDigests: [hashText("south-1")], ...quota },
      ],
    },
  });
  let isOver = false;
  const greedy = Array.from({ length: 40 }, async (_, number) => {
    const statuses: number[] = [];
    while (!isOver) {
      const result = await callGateway(running.url, {
        callId: `north-${number}-${statuses.length}`,
        path: "/write/",
        body: BODY,
        headers: { authorization: "Bearer north-1" },
      });
      statuses.push(result.status);
    }
    return statuses;
  });
  await sleep(WORK_MILLISECONDS / 2);
  for (let number = 0; number < 5; number++) {
    const call = {
      path: "/read/",
      headers: { authorization: "Bearer south-1" },
    };
    const [large, small] = await Promise.all([
      callGateway(running.url, { ...call, callId: `l-${number}`, body: BODY }),
      callGateway(running.url, { ...call, callId: `s-${number}`, body: "s" }),
    ]);
    t.equal(large.status, 200);
    t.equal(small.status, 200);
  }
  isOver = true;
  const statuses = (await Promise.all(greedy)).flat();
  t.ok(statuses.includes(503), "the greedy one is refused");
  t.ok(statuses.includes(200), "the greedy one is served as well");
  t.ok(statuses.every((status) => status === 200 || status === 503));
});

/** Sends a head with a declared body, then bytes of it; resolves with the answer. */
function sendSlowly(
  url: string,
  options: {
    readonly callId: string;
    readonly patience: number;
    /** Time between two bytes, ms; Infinity if none follows the first. */
    readonly interval: number;
  },
): Promise<string> {
  const { callId, patience, interval } = options;
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    let answer = "";
    const socket = connect(Number(port), hostname);
    socket.write(
      `POST /write/ HTTP/1.1\r\nHost: a.example\r\nx-call-id: ${callId}\r\n` +
        `x-patience-ms: ${patience}\r\nContent-Length: ${BODY.length}\r\n\r\nb`,
    );
    const timer = Number.isFinite(interval)
      ? setInterval(() => socket.write("b"), interval)
      : undefined;
    socket.on("data", (bytes) => answer += String(bytes));
    socket.on("error", () => undefined);
    socket.on("end", () => clearInterval(timer));
    socket.on("close", () => {
      clearInterval(timer);
      resolve(answer);
    });
  });
}

// Guards against callers that keep the room for bodies that they do not send.
test("bodies that stall or come byte by byte get 408 and free their room", async (t) => {
  const running = await startSite(t, {
    gatewaySettings: { body_stall_milliseconds: 500 },
  });
  const options = [
    { patience: 20_000, interval: Infinity },
    { patience: 1_000, interval: 20 },
  ];
  for (const [round, slow] of options.entries()) {
    const answers = await Promise.all(
      Array.from(
        { length: 6 },
        (_, number) =>
          sendSlowly(running.url, { ...slow, callId: `${round}-${number}` }),
      ),
    );
    for (const answer of answers) {
      t.match(answer, /^HTTP\/1\.1 408 /);
      t.match(answer, /connection: close/i);
      t.match(answer, /"BODY_TIMEOUT"/);
    }
    const callId = `after-${round}`;
    const call = { callId, path: "/write/", body: BODY };
    t.equal((await callGateway(running.url, call)).status, 200);
  }
  t.equal(listRuns(running).size, options.length);
  const until = performance.now() + 10_000;
  const name = "mallowlift_held_request_bytes";
  while (await readMetric(running, name) > 0 && performance.now() < until) {
    await sleep(SMALL_INTERVAL_MILLISECONDS);
  }
  t.equal(await readMetric(running, name), 0);
});

// Guards against answers that are kept for a retry, each up to 1 MiB.
test("answers of 1 MB to many callers stay within the memory of an instance", async (t) => {
  const running = await startSite(t);
  for (const upstream of running.upstreams) upstream.answerBytes = 1_000_000;
  const calls = Array.from({ length: CALLERS }, async (_, number) => {
    const call = { callId: `c-${number}`, path: "/read/", body: "b" };
    return await callAsTold(running.url, call);
  });
  const attempts = await Promise.all(calls);
  checkAttempts(t, running, attempts);
  const bodies = attempts.map((tries) => tries.at(-1)?.result.body.length ?? 0);
  t.ok(bodies.every((length) => length > 1_000_000), "whole answers");
});

// Guards against joined prompts, each as large as the history and the input.
test("large joined prompts at once stay within the memory of an instance", async (t) => {
  const running = await startSite(t);
  const turn = {
    path: "/stream/",
    headers: { "x-program": "p", "x-most-tokens": "6" },
  };
  const input = BODY.subarray(0, 2_000_000);
  const first = { ...turn, callId: "first", body: input };
  t.equal((await callGateway(running.url, first)).status, 200);
  const calls = Array.from(
    { length: 60 },
    (_, number) =>
      callAsTold(running.url, {
        ...turn,
        callId: `t-${number}`,
        body: `input-${number}`,
        headers: { ...turn.headers, "x-previous-turn": "first" },
      }),
  );
  const attempts = await Promise.all(calls);
  checkAttempts(t, running, attempts);
  t.ok(attempts.flat().some(({ result }) => result.status === 503));
  const runs = running.upstreams.flatMap(({ runs }) => runs);
  t.ok(
    runs.every(({ body }) => body.length >= input.length),
    "prompts are whole",
  );
});

// Guards against defaults that fit into an instance only one by one.
test("large bodies, answers, histories and prompts at once stay within the memory of an instance", async (t) => {
  const running = await startSite(t);
  const { url } = running;
  const turn = {
    path: "/stream/",
    headers: { "x-program": "p", "x-most-tokens": "6" },
  };
  const input = BODY.subarray(0, 1_900_000);
  const histories = await Promise.all(
    Array.from(
      { length: 8 },
      (_, number) =>
        callAsTold(url, { ...turn, callId: `h-${number}`, body: input }),
    ),
  );
  for (const upstream of running.upstreams) upstream.answerBytes = 1_000_000;
  const calls = Array.from({ length: CALLERS }, (_, number) => {
    const callId = `c-${number}`;
    if (number % 3 === 0) {
      return callAsTold(url, { callId, path: "/write/", body: BODY });
    }
    if (number % 3 === 1) {
      return callAsTold(url, { callId, path: "/read/", body: "b" });
    }
    const previous = histories[number % 8]?.at(-1)?.callId ?? "";
    const headers = { ...turn.headers, "x-previous-turn": previous };
    return callAsTold(url, { ...turn, callId, body: "input", headers });
  });
  checkAttempts(t, running, [...histories, ...await Promise.all(calls)]);
});

// Guards against turns that begin and are broken off for want of room.
test("turns with large outputs are refused before they begin, and not broken off", async (t) => {
  const running = await startSite(t);
  for (const upstream of running.upstreams) {
    upstream.events = 10;
    upstream.paddingBytes = 100_000;
    upstream.faults.eventIntervalMilliseconds = 50;
  }
  const turn = { path: "/stream/", body: "input" };
  const headers = { "x-most-tokens": "20" };
  const call = (callId: string) =>
    callAsTold(running.url, {
      ...turn,
      callId,
      headers: { ...headers, "x-program": callId },
    });
  const first = await call("first");
  const calls = Array.from({ length: 30 }, (_, n) => call(`t-${n}`));
  const attempts = [first, ...await Promise.all(calls)];
  checkAttempts(t, running, attempts);
  t.ok(attempts.flat().some(({ result }) => result.status === 503));
});

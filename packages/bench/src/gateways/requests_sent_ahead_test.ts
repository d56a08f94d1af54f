/**
 * Requests that a caller sends ahead on one connection: what was read is answered in
 * its order, and what cannot be answered does not run.
 */

import { sleep } from "@mallowlift/core";
import fc from "fast-check";
import { type Test, test } from "tap";
import {
  AheadCaller,
  type AheadRequest,
  writeRequests,
} from "./ahead_caller.ts";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite, type TestSite } from "./start_test_site.ts";
import { readMetrics } from "./store_metrics.ts";
import { TEST_DOCUMENT } from "./test_document.ts";
import { countRuns } from "./turn_caller.ts";

const SEED = 6_801;
const KINDS = ["read", "write"];

function createRequests(kind: string, name: string): readonly AheadRequest[] {
  return ["a", "b", "c"].map((letter) => ({
    path: `/${kind}/x`,
    callId: `${name}-${letter}`,
    body: letter,
  }));
}

function listRuns(running: TestSite, requests: readonly AheadRequest[]) {
  return requests.filter(({ callId }) => countRuns(running, callId ?? "") > 0)
    .map(({ callId }) => callId);
}

/** Sends the requests in one write and compares the answers with the runs. */
async function checkAhead(t: Test, options: {
  readonly running: TestSite;
  readonly requests: readonly AheadRequest[];
  readonly answered: number;
}): Promise<void> {
  const { running, requests, answered } = options;
  const caller = await AheadCaller.open(running.url);
  caller.send(requests);
  const answers = await caller.readAnswers(requests.length);
  caller.socket.destroy();
  const expected = requests.slice(0, answered).map(({ callId }) => callId);
  t.same(
    answers.map(({ status, callId, whole }) => ({ status, callId, whole })),
    expected.map((callId) => ({ status: 200, callId, whole: true })),
  );
  t.same(listRuns(running, requests), expected, "what ran was answered");
}

async function readLeftBehind(running: TestSite): Promise<number> {
  const [gateway] = running.site.gateways;
  if (gateway === undefined) return 0;
  const text = await readMetrics(gateway);
  let count = 0;
  for (const line of text.split("\n")) {
    if (!line.startsWith("mallowlift_requests_left_behind_total{")) continue;
    count += Number(line.split(" ").at(-1));
  }
  return count;
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await sleep(10);
}

for (const kind of KINDS) {
  test(`${kind}: requests sent ahead are answered in their order`, async (t) => {
    const running = await startTestSite(t);
    for (const upstream of running.upstreams) {
      upstream.faults.silentMilliseconds = 100;
    }
    const requests = createRequests(kind, "service");
    await checkAhead(t, { running, requests, answered: 3 });
    const [first, ...others] = createRequests(kind, "close");
    if (first === undefined) throw new Error("No request");
    const headers = { Connection: "close" };
    const closing = [{ ...first, headers }, ...others];
    await checkAhead(t, { running, requests: closing, answered: 1 });
  });

  // Guards against a stopping gateway that ran all requests of a connection and
  // ended it with the first answer: two of three had run and got no answer.
  test(`${kind}: a stopping gateway answers requests sent ahead`, async (t) => {
    // Longer than the timeout of the routes, so that every request can be finished.
    const running = await startTestSite(t, { stopMilliseconds: 60_000 });
    const [gateway] = running.site.gateways;
    for (const upstream of running.upstreams) {
      upstream.faults.silentMilliseconds = 150;
    }
    const before = createRequests(kind, "before");
    const checked = checkAhead(t, { running, requests: before, answered: 3 });
    await sleep(60);
    const stopped = gateway?.process.stop();
    await sleep(200);
    const after = createRequests(kind, "after");
    await checkAhead(t, { running, requests: after, answered: 3 });
    await checked;
    t.equal(await stopped, 0);
  });

  // Guards against requests that run behind an answer that its connection ends: they
  // cannot be answered.
  test(`${kind}: requests behind an answer without framing do not run`, async (t) => {
    const running = await startTestSite(t);
    for (const upstream of running.upstreams) {
      upstream.faults.omitsFraming = true;
      upstream.faults.eventIntervalMilliseconds = 50;
    }
    const stream = { path: "/read/stream", callId: "unframed" };
    const behind = createRequests(kind, "behind");
    const caller = await AheadCaller.open(running.url);
    caller.send([stream, ...behind]);
    const answers = await caller.readUntilClose();
    t.equal(answers.length, 1);
    t.match(answers[0], { status: 200, callId: "unframed", closes: true });
    t.equal(countRuns(running, "unframed"), 1);
    t.same(listRuns(running, behind), []);
    t.equal(await readLeftBehind(running), 3);
  });

  test(`${kind}: requests behind a stream run after it`, async (t) => {
    const running = await startTestSite(t);
    const stream = { path: "/resumable-stream/x", callId: "stream" };
    const requests = [stream, ...createRequests(kind, "behind")];
    await checkAhead(t, { running, requests, answered: 4 });
  });

  // Guards against requests that run behind a refused body, whose answer ends the
  // connection.
  test(`${kind}: requests behind a refused body do not run`, async (t) => {
    const running = await startTestSite(t, {
      document: {
        ...TEST_DOCUMENT,
        limits: { ...TEST_DOCUMENT.limits, maxBodyBytes: 64 },
      },
    });
    for (const bytes of [65, 1_000_000]) {
      const large = {
        path: `/${kind}/x`,
        callId: `large-${bytes}`,
        body: "x".repeat(bytes),
      };
      const behind = createRequests(kind, `behind-${bytes}`);
      const caller = await AheadCaller.open(running.url);
      caller.send([large, ...behind]);
      const answers = await caller.readUntilClose();
      t.ok(answers.every(({ status }) => status === 413));
      t.same(listRuns(running, behind), []);
    }
  });
}

// Guards against bytes that are no request and whose refusal the caller takes for the
// answer of the request before them, which runs.
test("a malformed request does not answer the request before it", async (t) => {
  const running = await startTestSite(t);
  for (const upstream of running.upstreams) {
    upstream.faults.silentMilliseconds = 200;
  }
  const requests = createRequests("write", "sound");
  const caller = await AheadCaller.open(running.url);
  caller.socket.write(
    `${writeRequests(requests).toString()}no request\r\n\r\n`,
  );
  const answers = await caller.readUntilClose();
  t.same(answers.map(({ status }) => status), [200, 200, 200]);
  t.same(listRuns(running, requests).length, 3);
});

test("requests sent ahead in pieces are answered in their order", async (t) => {
  const running = await startTestSite(t);
  let round = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.integer({ min: 1, max: 90 }), { maxLength: 20 }),
      fc.constantFrom(...KINDS),
      async (sizes, kind) => {
        const requests = createRequests(kind, `pieces-${round++}`);
        const caller = await AheadCaller.open(running.url);
        await caller.sendPieces(writeRequests(requests), sizes);
        const answers = await caller.readAnswers(3);
        caller.socket.destroy();
        const ids = requests.map(({ callId }) => callId);
        t.same(answers.map(({ callId }) => callId), ids);
        t.ok(answers.every(({ status, whole }) => status === 200 && whole));
        for (const id of ids) t.equal(countRuns(running, id ?? ""), 1);
      },
    ),
    { seed: SEED, numRuns: 20 },
  );
});

// Guards against requests that wait on a connection whose caller has disconnected, and
// that stay in the count of open requests: a gateway would refuse all others in the end.
test("a caller that disconnects leaves no waiting request", async (t) => {
  const running = await startTestSite(t, {
    gatewaySettings: { max_requests: 8 },
  });
  const [upstream] = running.upstreams;
  if (upstream === undefined) throw new Error("No upstream");
  upstream.faults.silentMilliseconds = 5_000;
  const callers = await Promise.all(
    KINDS.map(() => AheadCaller.open(running.url)),
  );
  for (const [number, caller] of callers.entries()) {
    caller.send(createRequests(KINDS[number] ?? "", `left-${number}`));
  }
  await waitUntil(() => upstream.runs.length === 2);
  for (const caller of callers) caller.socket.destroy();
  upstream.faults.silentMilliseconds = 0;
  await waitUntil(() => upstream.left.length === 2);
  // Six more requests would exceed the limit if those that waited were counted.
  const calls = Array.from(
    { length: 6 },
    (_, number) =>
      callGateway(running.url, { callId: `next-${number}`, path: "/read/x" }),
  );
  const results = await Promise.all(calls);
  t.same(results.map(({ status }) => status), results.map(() => 200));
  const waiting = ["left-0-b", "left-0-c", "left-1-b", "left-1-c"];
  t.same(waiting.map((id) => countRuns(running, id)), [0, 0, 0, 0]);
  t.equal(await readLeftBehind(running), 4);
});

// Guards against a waiting request that runs although its time is over when its turn
// comes.
test("the time of a waiting request counts from its arrival", async (t) => {
  const running = await startTestSite(t);
  for (const upstream of running.upstreams) {
    upstream.faults.silentMilliseconds = 1_000;
  }
  const [first, second] = createRequests("write", "late");
  if (first === undefined || second === undefined) throw new Error("None");
  const headers = { "X-Patience-Ms": "500" };
  const caller = await AheadCaller.open(running.url);
  caller.send([first, { ...second, headers }]);
  const answers = await caller.readAnswers(2);
  caller.socket.destroy();
  t.equal(answers[0]?.status, 200);
  t.equal(answers[1]?.status, 503, "it is refused, because it has not run");
  t.equal(countRuns(running, "late-b"), 0);
});

// Guards against a request that is refused because of those that wait behind it.
test("waiting requests count as open and are refused in their turn", async (t) => {
  const running = await startTestSite(t, {
    gatewaySettings: { max_requests: 2 },
  });
  for (const upstream of running.upstreams) {
    upstream.faults.silentMilliseconds = 200;
  }
  const requests = createRequests("write", "many");
  const caller = await AheadCaller.open(running.url);
  caller.send([...requests, ...createRequests("write", "more")]);
  const answers = await caller.readAnswers(6);
  caller.socket.destroy();
  t.same(
    answers.map(({ status }) => status),
    [200, 200, 503, 503, 200, 200],
  );
  t.same(
    ["a", "b", "c"].map((letter) => countRuns(running, `many-${letter}`)),
    [1, 1, 0],
  );
  t.same(
    ["a", "b", "c"].map((letter) => countRuns(running, `more-${letter}`)),
    [0, 1, 1],
  );
});

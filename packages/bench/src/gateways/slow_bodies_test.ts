/** Guards against bodies that take the room of others, for long or by force. */

import { connect } from "node:net";
import { performance } from "node:perf_hooks";
import { hashText, sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import {
  BODY,
  DOCUMENT,
  listRuns,
  readMetric,
  SMALL_INTERVAL_MILLISECONDS,
  startSite,
  WORK_MILLISECONDS,
} from "./large_request_site.ts";

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
    gatewaySettings: {
      body_stall_milliseconds: 500,
      request_total_bytes: 33_554_432,
    },
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

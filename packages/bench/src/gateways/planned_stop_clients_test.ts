import { Agent, request } from "node:http";
import { hashText, sleep } from "@mallowlift/core";
import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import { startTestSite } from "./start_test_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";
import { countRuns } from "./turn_caller.ts";
import { Random } from "../soak/random.ts";

const SEED = 68;
const CLIENTS = 24;
/** Longest work of a request, ms: well below the time that a stop may take. */
const MAX_WORK_MILLISECONDS = 300;
const SERVICE_MILLISECONDS = 1_000;
const STOP_MILLISECONDS = 3_000;
const PATHS = ["/read/", "/write/", "/resumable-stream/"];

/** Outcome of a request; status 0 if no head of an answer arrived. */
interface Outcome {
  readonly callId: string;
  readonly status: number;
  readonly isWhole: boolean;
}

/** Makes a request on the kept connection of a client. */
function callKept(
  url: string,
  call: {
    readonly agent: Agent;
    readonly callId: string;
    readonly path: string;
  },
): Promise<Outcome> {
  const { agent, callId, path } = call;
  const headers = {
    host: "a.example",
    "x-call-id": callId,
    "x-patience-ms": String(STOP_MILLISECONDS / 2),
  };
  return new Promise((resolve) => {
    const lost = { callId, status: 0, isWhole: false };
    const sent = request(`${url}${path}`, { method: "POST", agent, headers });
    sent.on("error", () => resolve(lost));
    sent.on("response", (answer) => {
      answer.resume().on("error", () => undefined).on("close", () =>
        resolve({
          callId,
          status: answer.statusCode ?? 0,
          isWhole: answer.complete,
        }));
    });
    sent.end("body");
  });
}

// Guards against requests that reach a stopping gateway on kept connections, and that
// it runs but does not answer.
test("clients that use their connections until the end lose no request", async (t) => {
  const running = await startTestSite(t, {
    upstreams: 3,
    stopMilliseconds: STOP_MILLISECONDS,
    gatewaySettings: { drain_milliseconds: STOP_MILLISECONDS / 2 },
  });
  const [gateway] = running.site.gateways;
  if (gateway === undefined) throw new Error("The site has no gateway");
  const random = new Random(SEED);
  const outcomes: Outcome[] = [];
  const runClient = async (client: number) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let number = 0; gateway.process.isRunning; number++) {
      const work = random.between(1, MAX_WORK_MILLISECONDS);
      const path = random.choose(PATHS);
      const outcome = await callKept(running.url, {
        agent,
        callId: `${client}-${number}`,
        path: `${path}x?work=${work}`,
      });
      outcomes.push(outcome);
      if (outcome.status === 0) await sleep(10);
    }
    agent.destroy();
  };
  const clients = Array.from(
    { length: CLIENTS },
    (_, client) => runClient(client),
  );
  await sleep(SERVICE_MILLISECONDS);
  t.equal(await gateway.process.stop(), 0);
  await Promise.all(clients);
  const served = outcomes.filter(({ status }) => status === 200);
  const lost = outcomes.filter(({ callId, isWhole }) =>
    !isWhole && countRuns(running, callId) > 0
  );
  const untrue = outcomes.filter(({ callId, status }) =>
    status === 503 && countRuns(running, callId) > 0
  );
  t.comment(
    `seed ${SEED}: ${outcomes.length} requests, ${served.length} served`,
  );
  t.same(lost, []);
  t.same(untrue, []);
  t.ok(served.length > CLIENTS);
});

// Guards against calls that wait for a permit when a stop ends, which no signal aborts:
// they got no answer, and could still be sent.
test("calls that wait for a permit are refused at the end of a stop", async (t) => {
  const running = await startTestSite(t, {
    upstreams: 1,
    stopMilliseconds: STOP_MILLISECONDS / 2,
    waitMilliseconds: 20_000,
    gatewaySettings: { revocation_milliseconds: 60_000 },
    document: {
      ...TEST_DOCUMENT,
      workspaces: [{
        name: "north",
        keyDigests: [hashText("north-1")],
        ratePerSecond: 10,
        burst: 10,
      }],
    },
  });
  const { site } = running;
  const [gateway] = site.gateways;
  if (gateway === undefined) throw new Error("The site has no gateway");
  for (const store of site.stores) await site.kill(store);
  const calls = PATHS.map((path) =>
    callGateway(running.url, {
      callId: path,
      path: `${path}x`,
      headers: { authorization: "Bearer north-1" },
    })
  );
  await sleep(SERVICE_MILLISECONDS / 2);
  t.equal(await gateway.process.stop(), 0);
  for (const result of await Promise.all(calls)) {
    t.equal(result.status, 503);
    t.ok(result.whole);
    t.match(result.body, /DRAINING/);
  }
  t.same(running.upstreams.flatMap((upstream) => upstream.runs), []);
});

import { type RoutingDocument, sleep } from "@mallowlift/core";
import { describeOutput } from "@mallowlift/mocks";
import { type Test, test } from "tap";
import { startTestSite, type TestSite } from "./start_test_site.ts";
import { TEST_DOCUMENT } from "./test_document.ts";
import { callTurn, findPrompt } from "./turn_caller.ts";

const RETENTION_MILLISECONDS = 1_000;
/** Beyond the retention, its grace period and the interval of sweeps. */
const LONG_MILLISECONDS = 18_000;
const TIMEOUT_MILLISECONDS = 40_000;
/** Time in the long turns at which a disruption begins, ms. */
const DISRUPTED_AFTER_MILLISECONDS = 4_000;
const GATEWAYS = 3;

/** Creates a document whose turns are kept for a time, ms. */
function createDocument(
  version: number,
  retentionMilliseconds: number,
): RoutingDocument {
  const routes = TEST_DOCUMENT.routes.map((route) => ({
    ...route,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    retentionMilliseconds: route.keepsHistory ? retentionMilliseconds : 0,
  }));
  return { ...TEST_DOCUMENT, version, routes };
}

const DOCUMENT = createDocument(1, RETENTION_MILLISECONDS);

/** The prompt of a turn and what the history keeps of it. */
interface KeptTurn {
  readonly id: string;
  readonly history: string;
}

const NO_TURN: KeptTurn = { id: "", history: "" };

/** Runs a turn and checks that it is served with its whole history. */
async function checkTurn(
  t: Test,
  running: TestSite,
  turn: {
    readonly id: string;
    readonly after: KeptTurn;
    readonly gateway: number;
    readonly workMilliseconds?: number;
  },
): Promise<KeptTurn> {
  const { after, ...call } = turn;
  const previous = after.id === "" ? {} : { previous: after.id };
  const result = await callTurn(running, { ...call, ...previous });
  t.equal(result.status, 200, turn.id);
  t.ok(result.whole, turn.id);
  const prompt = `${after.history}input-${turn.id};`;
  t.equal(findPrompt(running, turn.id), prompt, turn.id);
  return { id: turn.id, history: prompt + describeOutput(prompt, 3) };
}

/**
 * Runs two turns, then a long and a short one from the second within its retention,
 * and continues both lines through other gateways.
 */
async function checkLongTurns(
  t: Test,
  disrupt: (running: TestSite) => Promise<void>,
): Promise<void> {
  const running = await startTestSite(t, {
    gateways: GATEWAYS,
    upstreams: 2,
    waitMilliseconds: TIMEOUT_MILLISECONDS,
    document: DOCUMENT,
  });
  const check = (
    id: string,
    after: KeptTurn,
    gateway: number,
    workMilliseconds = 0,
  ) => checkTurn(t, running, { id, after, gateway, workMilliseconds });
  const first = await check("first", NO_TURN, 0);
  const second = await check("second", first, 1);
  const lines = ["x", "y"].map(async (line, index) => {
    const work = LONG_MILLISECONDS;
    const long = await check(`long-${line}`, second, index, work);
    const next = await check(`next-${line}`, long, 2);
    await check(`last-${line}`, next, 0);
  });
  await check("short", second, 1);
  await sleep(DISRUPTED_AFTER_MILLISECONDS);
  await disrupt(running);
  await Promise.all(lines);
}

// Guards against turns that run without the earlier part of their history: it expired
// while a turn that continued it was still running.
test("turns that outlast their history are continued with all of it", async (t) => {
  await checkLongTurns(t, () => Promise.resolve());
});

test("turns that outlast their history and all stores are continued with all of it", async (t) => {
  await checkLongTurns(t, async ({ site }) => {
    for (const store of site.stores) store.process.signal("SIGKILL");
    for (const store of site.stores) await store.process.waitForExit();
    for (const store of site.stores) site.restart(store);
    await site.waitUntilReady();
  });
});

// Guards against turns that are kept for the retention of a document that has been
// replaced while they ran.
test("a turn is kept for the retention that is in force when it ends", async (t) => {
  const running = await startTestSite(t, { gateways: 2, document: DOCUMENT });
  const turn = checkTurn(t, running, {
    id: "first",
    after: NO_TURN,
    gateway: 0,
    workMilliseconds: DISRUPTED_AFTER_MILLISECONDS,
  });
  await running.site.putDocument(createDocument(2, TIMEOUT_MILLISECONDS));
  const first = await turn;
  await sleep(LONG_MILLISECONDS);
  await checkTurn(t, running, { id: "second", after: first, gateway: 1 });
});

import { sleep } from "@mallowlift/core";
import { describeOutput } from "@mallowlift/mocks";
import { test } from "tap";
import { startTestSite } from "./start_test_site.ts";
import { sumStoreCounter } from "./store_metrics.ts";
import {
  callTurn,
  callTurnUntilServed,
  countRuns,
  findPrompt,
} from "./turn_caller.ts";

test("a history spans gateways, forks, and is never mixed with another", async (t) => {
  const running = await startTestSite(t, { gateways: 2, upstreams: 2 });
  t.equal((await callTurn(running, { id: "a" })).status, 200);
  const promptA = "input-a;";
  t.equal(findPrompt(running, "a"), promptA);
  const outputA = describeOutput(promptA, 3);
  await callTurn(running, { id: "b", previous: "a", gateway: 1 });
  const promptB = `${promptA}${outputA}input-b;`;
  t.equal(findPrompt(running, "b"), promptB);
  await callTurn(running, { id: "c", previous: "a" });
  t.equal(findPrompt(running, "c"), `${promptA}${outputA}input-c;`);
  await callTurn(running, { id: "d", previous: "b" });
  const outputB = describeOutput(promptB, 3);
  t.equal(findPrompt(running, "d"), `${promptB}${outputB}input-d;`);
  const unknown = await callTurn(running, { id: "e", previous: "nowhere" });
  t.equal(unknown.status, 404);
  t.equal(countRuns(running, "e"), 0);
});

test("a budget holds across gateways, and a refused turn never runs", async (t) => {
  const running = await startTestSite(t, { gateways: 2, upstreams: 2 });
  const budget = 10;
  t.equal((await callTurn(running, { id: "a", budget })).status, 200);
  const second = await callTurn(running, { id: "b", budget, gateway: 1 });
  t.equal(second.status, 200);
  const third = await callTurn(running, { id: "c", budget });
  t.equal(third.status, 402);
  t.equal(countRuns(running, "c"), 0);
  const other = await callTurn(running, { id: "d", budget, program: "q" });
  t.equal(other.status, 200);
});

// Guards against a leader that is busy with the turns of programs that go on for long
// after their budget is spent.
test("a turn of a program whose budget is spent is refused without a command", async (t) => {
  const running = await startTestSite(t, { gateways: 2 });
  const budget = 6;
  t.equal((await callTurn(running, { id: "a", budget })).status, 200);
  await sleep(200);
  const count = () => sumStoreCounter(running, "mallowlift_proposals_total");
  const before = await count();
  for (let turn = 0; turn < 20; turn++) {
    const id = `turn ${turn}`;
    const refused = await callTurn(running, { id, budget, gateway: turn % 2 });
    t.equal(refused.status, 402);
  }
  t.equal(await count(), before);
  const more = await callTurn(running, { id: "b", budget: budget + 1 });
  t.equal(more.status, 200, "a larger budget counts");
});

test("a truncated stream does not look complete, is not stored, and its sent tokens count", async (t) => {
  const running = await startTestSite(t, { upstreams: 2 });
  for (const upstream of running.upstreams) upstream.faults.closesAfter = 2;
  const result = await callTurn(running, { id: "a", budget: 5 });
  t.equal(result.status, 200);
  t.notOk(result.whole);
  t.equal(countRuns(running, "a"), 1, "a stream runs at most once");
  for (const upstream of running.upstreams) upstream.faults.closesAfter = 99;
  t.equal((await callTurn(running, { id: "b", previous: "a" })).status, 404);
  await sleep(200);
  t.equal((await callTurn(running, { id: "c", budget: 5 })).status, 200);
  t.equal((await callTurn(running, { id: "d", budget: 5 })).status, 402);
});

test("served turns survive the loss of any store, its disk, and all power", async (t) => {
  const running = await startTestSite(t, { gateways: 2, upstreams: 2 });
  const { site } = running;
  let previous = "";
  let prompt = "";
  let round = 0;
  const addTurn = async () => {
    const id = `t${round++}`;
    await callTurnUntilServed(running, {
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
  await addTurn();
  for (const store of site.stores) {
    await site.kill(store, true);
    await addTurn();
    site.restart(store);
    await site.waitUntilReady();
    await addTurn();
  }
  for (const daemon of site.daemons) daemon.process.signal("SIGKILL");
  for (const daemon of site.daemons) await daemon.process.waitForExit();
  for (const daemon of site.daemons) site.restart(daemon);
  await site.waitUntilReady();
  await addTurn();
});

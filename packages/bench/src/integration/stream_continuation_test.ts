import { sleep } from "@mallowlift/core";
import { test } from "tap";
import {
  createModelBody,
  createProgram,
  listOwners,
  startTestSite,
  waitFor,
} from "./test_site.ts";

const SLOW_ENGINE = { stepMilliseconds: 20 };
const TOKENS = 80;

test("engines that answer differently: text already streamed stays the beginning of the answer", async (t) => {
  const running = await startTestSite(t.testdir(), {
    engine: SLOW_ENGINE,
    salted: true,
  });
  t.teardown(() => running.stop());
  const { client, site, engines } = running;

  const checkAnswer = async (program: string, text: string) => {
    const history = await client.readHistory(program);
    const [turn] = history.body.turns;
    t.equal(turn.answer.text, text);
    t.equal(text.trim().split(" ").length, TOKENS);
  };

  await t.test("after its sidecar is killed", async () => {
    const program = await createProgram(client, "sidecar");
    const streamed = client.streamModel(program, createModelBody("s", TOKENS));
    await waitFor(
      "an engine runs the call",
      () => engines.some((engine) => engine.isRunning(program)),
    );
    await sleep(400);
    const number = engines.findIndex((engine) => engine.isRunning(program)) + 1;
    await site.get(`engine-${number}`).process.kill();
    const answer = await streamed;
    t.ok(answer.whole);
    await checkAnswer(program, answer.text);
    site.get(`engine-${number}`).process.start();
    await site.waitUntilHealthy();
  });

  await t.test("after its owner and its sidecar are killed", async () => {
    const program = await createProgram(client, "both");
    const streamed = client.streamModel(program, createModelBody("s", TOKENS));
    await waitFor(
      "an engine runs the call",
      () => engines.some((engine) => engine.isRunning(program)),
    );
    await sleep(400);
    const number = engines.findIndex((engine) => engine.isRunning(program)) + 1;
    const [owner = "replica-1"] = await listOwners(client);
    const killed = [`engine-${number}`, owner];
    await Promise.all(killed.map((name) => site.get(name).process.kill()));
    const answer = await streamed;
    for (const name of killed) site.get(name).process.start();
    await site.waitUntilHealthy();
    // An owner that does not know which text was streamed may only end the stream.
    if (!answer.whole) t.equal(answer.body.error.name, "STREAM_BROKEN");
    else await checkAnswer(program, answer.text);
  });
});

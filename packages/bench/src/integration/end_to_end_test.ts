import { readdirSync, readFileSync } from "node:fs";
import { connect } from "node:net";
import { join } from "node:path";
import { composeAnswer } from "@mallowlift/mocks";
import { test } from "tap";
import { runFirnwatchProgram } from "../site/firnwatch_program.ts";
import { SITE_SERVICE } from "../site/seed_resources.ts";
import { OPERATOR_TOKEN } from "../site/site_plan.ts";
import {
  createModelBody,
  createProgram,
  createWriteBody,
  startTestSite,
  waitFor,
} from "./test_site.ts";

test("end to end", async (t) => {
  const folder = t.testdir();
  const overrides = { daemon: { log_level: "debug" } };
  const running = await startTestSite(folder, { plan: { overrides } });
  t.teardown(() => running.stop());
  const { client, southClient, site, engines, services } = running;

  await t.test("a program runs from start to end", async (t) => {
    const report = await runFirnwatchProgram(client, "example");
    t.equal(report.lines.length, 8);
    t.equal(services[0]?.runs.length, 1);
  });

  await t.test("complete and streamed answers equal the engine's byte for byte", async (t) => {
    const program = await createProgram(client, "bytes");
    const first = createModelBody("a", 9);
    const whole = await client.callModel(program, first);
    const text = composeAnswer(first.messages, 9);
    t.equal(whole.body.choices[0].message.content, text);
    const second = createModelBody("b", 9);
    const streamed = await client.streamModel(program, second);
    const prompt = [
      ...first.messages,
      { role: "assistant", content: text },
      ...second.messages,
    ];
    t.equal(streamed.text, composeAnswer(prompt, 9));
    t.ok(streamed.whole);
    t.ok(streamed.chunkTimes.length > 1);
  });

  await t.test("a resent request gets the recorded answer", async (t) => {
    const program = await createProgram(client, "resend");
    const first = await client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    const again = await client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    t.same(again.body, first.body);
    t.equal(services[0]?.countRuns(`${program}/w`), 1);
    const other = { ...createWriteBody("w"), payload: { stake: "another" } };
    const reused = await client.callService(program, SITE_SERVICE, other);
    t.equal(reused.body.error.name, "REQUEST_ID_REUSED");
  });

  await t.test("concurrent calls of one program run one after another", async (t) => {
    const program = await createProgram(client, "order");
    const ids = ["c1", "c2", "c3", "c4"];
    const answers = await Promise.all(
      ids.map((id) => client.callModel(program, createModelBody(id, 6))),
    );
    t.same(answers.map((answer) => answer.status), [200, 200, 200, 200]);
    const turns = answers.map((answer) => answer.body.turn as number).sort();
    t.same(turns, [1, 2, 3, 4]);
    const history = await client.readHistory(program);
    const kept: string[] = history.body.turns.map((
      turn: { request_id: string },
    ) => turn.request_id);
    t.same([...kept].sort(), ids);
  });

  await t.test("a token budget and a turn limit hold", async (t) => {
    const created = await client.createProgram({
      request_id: "tight",
      token_budget: 40,
      turn_limit: 2,
    });
    const program = String(created.body.program);
    const large = await client.callModel(
      program,
      createModelBody("large", 100),
    );
    t.equal(large.body.error.name, "BUDGET_EXCEEDED");
    t.equal(large.body.error.not_run, true);
    t.equal(
      (await client.callModel(program, createModelBody("x", 5))).status,
      200,
    );
    t.equal(
      (await client.callModel(program, createModelBody("y", 5))).status,
      200,
    );
    const third = await client.callModel(program, createModelBody("z", 1));
    t.equal(third.body.error.name, "TURN_LIMIT");
  });

  await t.test("another outfit's program cannot be distinguished from an unknown one", async (t) => {
    const program = await createProgram(client, "private");
    const absent = `p${"0".repeat(24)}`;
    for (const id of [program, absent]) {
      const read = await southClient.readHistory(id);
      const called = await southClient.callModel(id, createModelBody("x", 1));
      const child = await southClient.createChild(id, { request_id: "c" });
      const ended = await southClient.endProgram(id);
      for (const answer of [read, called, child, ended]) {
        t.equal(answer.status, 404);
        t.equal(answer.body.error.message, "The program does not exist");
      }
    }
  });

  await t.test("an ended program leaves no session in any engine", async (t) => {
    const program = await createProgram(client, "release");
    await client.callModel(program, createModelBody("x", 4));
    const isHeld = () =>
      engines.some((engine) => engine.sessions.includes(program));
    t.ok(isHeld());
    await client.endProgram(program);
    await waitFor("the engine has released the session", () => !isHeld());
    const late = await client.callModel(program, createModelBody("y", 1));
    t.equal(late.body.error.name, "PROGRAM_ENDED");
  });

  await t.test("a program without calls ends when its lease expires", async (t) => {
    const created = await client.createProgram({
      request_id: "idle",
      lease_ms: 200,
    });
    const program = String(created.body.program);
    const path = `/v1/programs/${program}`;
    await waitFor("the program ended", async () => {
      const read = await client.send({ method: "GET", path });
      return read.body.ended === "lease";
    });
    t.pass("ended");
  });

  await t.test("an engine loads the models that operators configured", async (t) => {
    const spec = { type: "model", models: ["field-guide", "crating"] };
    await client.applyResource("upstream", "engine-1", spec);
    await waitFor(
      "the model is loaded",
      () => engines[0]?.models.includes("crating") === true,
    );
    t.ok((engines[0]?.orders[0]?.fencing_number ?? 0) > 0);
  });

  await t.test("invalid input gets a numbered code, and the process continues", async (t) => {
    const program = await createProgram(client, "bad");
    const path = `/v1/programs/${program}/chat/completions`;
    const unknown = await client.callModel(program, {
      ...createModelBody("u", 1),
      colour: "blue",
    });
    t.equal(unknown.body.error.code, 1003);
    const large = {
      ...createModelBody("l", 1),
      messages: [{ role: "user", content: "x".repeat(3_000_000) }],
    };
    t.equal((await client.callModel(program, large)).body.error.code, 1002);
    const wrong = await client.send({
      method: "POST",
      path,
      body: createModelBody("w", 1),
      token: "wrong",
    });
    t.equal(wrong.body.error.code, 1004);
    t.equal(
      (await client.send({ method: "GET", path: "/nowhere" })).body.error.code,
      1009,
    );
    const model = await client.callModel(program, {
      ...createModelBody("m", 1),
      model: "secret",
    });
    t.equal(model.body.error.code, 1010);
    const stale = await client.send({
      method: "PUT",
      path: "/v1/resources/priority/office",
      token: OPERATOR_TOKEN,
      body: { order_id: "stale", version: 9, spec: { level: 1 } },
    });
    t.equal(stale.body.error.code, 1007);
    const raw = await fetch(`${site.entryUrls[0]}${path}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: "{broken",
    });
    const broken = await raw.json() as { error: { code: number } };
    t.equal(broken.error.code, 1001);
    t.equal(
      (await client.callModel(program, createModelBody("fine", 1))).status,
      200,
    );
  });

  await t.test("contents of requests and answers are never logged", (t) => {
    const logs = join(folder, "logs");
    for (const name of readdirSync(logs)) {
      const text = readFileSync(join(logs, name), "utf8");
      t.notMatch(text, /Question|Which stake|firn\d|"depth_mm"/, name);
    }
    t.end();
  });

  await t.test("garbage on the internal port is refused and counted", async (t) => {
    const { plan } = site.get("replica-1");
    const socket = connect(plan.listenPort, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.write("garbage that is no frame at all");
    await waitFor("the garbage is counted", async () => {
      const metrics = await site.readMetrics("replica-1");
      return /malformed_frames_total\{reason="HANDSHAKE_REFUSED"\} [1-9]/.test(
        metrics,
      );
    });
    socket.destroy();
    t.ok(await site.isHealthy("replica-1"));
  });
});

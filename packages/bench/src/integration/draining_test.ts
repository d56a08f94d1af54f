import { composeAnswer } from "@mallowlift/mocks";
import { test } from "tap";
import { SITE_SERVICE } from "../site/seed_resources.ts";
import { OPERATOR_TOKEN } from "../site/site_plan.ts";
import {
  createModelBody,
  createProgram,
  createWriteBody,
  startTestSite,
  waitFor,
} from "./test_site.ts";

const SLOW_ENGINE = { stepMilliseconds: 20 };

test("draining, planned stops and partitions", async (t) => {
  const plan = { proxied: true };
  const running = await startTestSite(t.testdir(), {
    engine: SLOW_ENGINE,
    plan,
  });
  t.teardown(() => running.stop());
  const { client, clients, site, engines } = running;

  await t.test("a draining upstream finishes its calls and gets no new ones", async (t) => {
    const spec = { type: "model", models: ["field-guide"] };
    const program = await createProgram(client, "drain");
    const body = createModelBody("long", 100);
    const streamed = client.streamModel(program, body);
    await waitFor(
      "an engine runs the call",
      () => engines.some((engine) => engine.isRunning(program)),
    );
    const position = engines.findIndex((engine) => engine.isRunning(program));
    const name = `engine-${position + 1}`;
    await client.applyResource("upstream", name, { ...spec, drain: true });
    await waitFor(
      "the sidecar drains",
      async () => !await site.isHealthy(name),
    );
    const before = engines[position]?.generations ?? 0;
    // Many concurrent calls, which balancing by load would spread over all engines.
    const numbers = Array.from({ length: 12 }, (_, number) => number);
    const others = numbers.map(async (number) => {
      const other = await createProgram(client, `after-drain-${number}`);
      return await client.callModel(other, createModelBody("x", 10));
    });
    for (const answer of await Promise.all(others)) t.equal(answer.status, 200);
    t.equal(engines[position]?.generations, before);
    const answer = await streamed;
    t.equal(answer.text, composeAnswer(body.messages, 100));
    await client.applyResource("upstream", name, spec);
    await site.waitUntilHealthy();
  });

  for (
    const role of ["entry-2", "engine-1", "replica-1", "replica-2", "replica-3"]
  ) {
    await t.test(`a planned stop of ${role} under load aborts no request`, async (t) => {
      // Programs whose call has reached its entry: an engine runs it or has run it.
      const startedPrograms = new Set<string>();
      const loads = Array.from({ length: 6 }, async (_, number) => {
        const user = clients[number % 2] ?? client;
        const program = await createProgram(user, `stop-${role}-${number}`);
        const body = createModelBody("long", 60);
        let isAnswered = false;
        const answering = user.streamModel(program, body)
          .finally(() => isAnswered = true);
        await waitFor(
          "an engine runs the call",
          () =>
            isAnswered || engines.some((engine) => engine.isRunning(program)),
        );
        startedPrograms.add(program);
        const answer = await answering;
        return answer.whole && answer.text === composeAnswer(body.messages, 60);
      });
      await waitFor("all calls have started", () => startedPrograms.size === 6);
      const code = await site.get(role).process.stop();
      t.equal(code, 0);
      t.ok((await Promise.all(loads)).every((isWhole) => isWhole));
      site.get(role).process.start();
      await site.waitUntilHealthy();
    });
  }

  await t.test("a planned stop of a sidecar waits for a write that is not idempotent", async (t) => {
    const [service] = running.services;
    if (service === undefined) throw new Error("The site has no service");
    const program = await createProgram(client, "stop-write");
    service.faults.delayMilliseconds = 1_200;
    const writing = client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    await waitFor(
      "the service runs the write",
      () => service.countRuns(`${program}/w`) === 1,
    );
    t.equal(await site.get("stakes-1").process.stop(), 0);
    service.faults.delayMilliseconds = 2;
    t.equal((await writing).status, 200);
    t.equal(service.countRuns(`${program}/w`), 1);
    site.get("stakes-1").process.start();
    await site.waitUntilHealthy();
  });

  await t.test("a partitioned entry refuses calls within seconds and never reverts to an older revision", async (t) => {
    const program = await createProgram(client, "cut-off");
    const links = site.proxies.filter((known) => known.source === "entry-1");
    for (const { proxy } of links) proxy.dropAll();
    const other = clients[1];
    const change = other?.applyResource("priority", "office", { level: 7 });
    await waitFor("the entry refuses", async () => {
      const refused = await client.callModel(program, createModelBody("x", 1));
      return refused.body?.error?.name === "CONFIGURATION_STALE";
    });
    const refused = await client.callModel(program, createModelBody("x", 1));
    t.equal(refused.body.error.not_run, true);
    t.ok(refused.body.error.retry_after_ms > 0);
    t.notOk(await site.isHealthy("entry-1"));
    const changed = await change;
    t.equal(changed?.status, 200);
    for (const { proxy } of links) proxy.heal();
    await site.waitUntilHealthy();
    const read = await client.send({
      method: "GET",
      path: "/v1/resources/priority/office",
      token: OPERATOR_TOKEN,
    });
    t.equal(read.body.revision, changed?.body.revision);
    t.equal(
      (await client.callModel(program, createModelBody("x", 1))).status,
      200,
    );
  });
});

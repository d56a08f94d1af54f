import { composeAnswer } from "@mallowlift/mocks";
import { sleep } from "@mallowlift/core";
import { test } from "tap";
import { SITE_SERVICE } from "../site/seed_resources.ts";
import {
  createModelBody,
  createProgram,
  createWriteBody,
  listOwners,
  retryWriteUntilRun,
  startTestSite,
  waitFor,
} from "./test_site.ts";

const SLOW_ENGINE = { stepMilliseconds: 20 };
const BEYOND_TIMEOUTS_MILLISECONDS = 4_000;

test("failures while calls run", async (t) => {
  const running = await startTestSite(t.testdir(), { engine: SLOW_ENGINE });
  t.teardown(() => running.stop());
  const { client, site, engines, services } = running;
  const service = services[0];
  if (service === undefined) throw new Error("The site has no service");

  await t.test("owner killed during a stream: the answer is complete", async (t) => {
    const program = await createProgram(client, "owner-killed");
    const body = createModelBody("s", 80);
    const streamed = client.streamModel(program, body);
    await sleep(300);
    const [owner = "replica-1"] = await listOwners(client);
    await site.get(owner).process.kill();
    const answer = await streamed;
    t.equal(answer.text, composeAnswer(body.messages, 80));
    t.ok(answer.whole);
    site.get(owner).process.start();
    await site.waitUntilHealthy();
  });

  await t.test("a sidecar killed during a stream: the answer continues elsewhere", async (t) => {
    const program = await createProgram(client, "sidecar-killed");
    const body = createModelBody("s", 80);
    const streamed = client.streamModel(program, body);
    await waitFor(
      "an engine runs the call",
      () => engines.some((engine) => engine.isRunning(program)),
    );
    await sleep(200);
    const number = engines.findIndex((engine) => engine.isRunning(program)) + 1;
    await site.get(`engine-${number}`).process.kill();
    const answer = await streamed;
    t.equal(answer.text, composeAnswer(body.messages, 80));
    t.ok(answer.whole);
    site.get(`engine-${number}`).process.start();
    await site.waitUntilHealthy();
  });

  await t.test("a sidecar killed during a write: the outcome is unknown, recorded, and never retried", async (t) => {
    const program = await createProgram(client, "write-killed");
    service.faults.delayMilliseconds = 1_500;
    const writing = client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    await waitFor(
      "the service runs the write",
      () => service.countRuns(`${program}/w`) === 1,
    );
    await site.get("stakes-1").process.kill();
    site.get("stakes-1").process.start();
    const answer = await writing;
    t.equal(answer.body.error.name, "OUTCOME_UNKNOWN");
    t.equal(answer.body.error.not_run, false);
    service.faults.delayMilliseconds = 2;
    await site.waitUntilHealthy();
    const again = await client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    t.equal(again.body.error.name, "OUTCOME_UNKNOWN");
    t.equal(service.countRuns(`${program}/w`), 1);
    const history = await client.readHistory(program);
    t.equal(history.body.turns[0].code, "OUTCOME_UNKNOWN");
  });

  await t.test("owner killed during a write: the next owner finds the answer", async (t) => {
    const program = await createProgram(client, "write-owner");
    service.faults.delayMilliseconds = 1_000;
    const writing = client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    await sleep(100);
    const [owner = "replica-1"] = await listOwners(client);
    await site.get(owner).process.kill();
    const answer = await writing;
    service.faults.delayMilliseconds = 2;
    t.equal(answer.status, 200);
    t.equal(service.countRuns(`${program}/w`), 1);
    site.get(owner).process.start();
    await site.waitUntilHealthy();
  });

  await t.test("a frozen owner resumes after others have served: it changes nothing", async (t) => {
    const program = await createProgram(client, "frozen");
    const [owner = "replica-1"] = await listOwners(client);
    site.get(owner).process.signal("SIGSTOP");
    const writes = ["a", "b", "c"].map((id) =>
      retryWriteUntilRun(client, program, id)
    );
    const answers = await Promise.all(writes);
    t.same(answers.map((answer) => answer.status), [200, 200, 200]);
    await sleep(BEYOND_TIMEOUTS_MILLISECONDS);
    site.get(owner).process.signal("SIGCONT");
    await site.waitUntilHealthy();
    for (const id of ["a", "b", "c"]) {
      t.equal(service.countRuns(`${program}/${id}`), 1);
    }
    const history = await client.readHistory(program);
    t.equal(history.body.turns.length, 3);
  });

  await t.test("an entry killed during a call: a retry with the same id at another entry gets the answer", async (t) => {
    const program = await createProgram(client, "entry-killed");
    service.faults.delayMilliseconds = 600;
    const writing = client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    )
      .then(() => "answered", () => "disconnected");
    await waitFor(
      "the service runs the write",
      () => service.countRuns(`${program}/w`) === 1,
    );
    await site.get("entry-1").process.kill();
    t.equal(await writing, "disconnected");
    const other = running.clients[1];
    const answer = await other?.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    service.faults.delayMilliseconds = 2;
    t.equal(answer?.status, 200);
    t.equal(service.countRuns(`${program}/w`), 1);
    site.get("entry-1").process.start();
    await site.waitUntilHealthy();
  });

  await t.test("the service runs a write but its answer is lost: the outcome is unknown, and it ran once", async (t) => {
    const program = await createProgram(client, "answer-lost");
    service.faults.dropAnswers = true;
    const answer = await client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    service.faults.dropAnswers = false;
    t.equal(answer.body.error.name, "OUTCOME_UNKNOWN");
    t.equal(service.countRuns(`${program}/w`), 1);
  });

  await t.test("all replicas killed and restarted: history and answers are kept", async (t) => {
    const program = await createProgram(client, "all-killed");
    const first = await client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    const names = ["replica-1", "replica-2", "replica-3"];
    await Promise.all(names.map((name) => site.get(name).process.kill()));
    for (const name of names) site.get(name).process.start();
    await site.waitUntilHealthy();
    const again = await client.callService(
      program,
      SITE_SERVICE,
      createWriteBody("w"),
    );
    t.same(again.body, first.body);
    t.equal(service.countRuns(`${program}/w`), 1);
  });
});

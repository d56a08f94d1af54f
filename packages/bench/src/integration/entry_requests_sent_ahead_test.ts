/** Requests that a caller sends ahead on one connection to an entry. */

import { sleep } from "@mallowlift/core";
import { type Test, test } from "tap";
import { AheadCaller, type AheadRequest } from "../gateways/ahead_caller.ts";
import { OUTFIT_TOKENS, SITE_SERVICE } from "../site/seed_resources.ts";
import {
  createModelBody,
  createProgram,
  createWriteBody,
  startTestSite,
  type TestSite,
} from "./test_site.ts";

const HEADERS = {
  Authorization: `Bearer ${OUTFIT_TOKENS.NORTH}`,
  "Content-Type": "application/json",
};

async function start(t: Test): Promise<TestSite> {
  const running = await startTestSite(t.testdir());
  t.teardown(() => running.stop());
  return running;
}

function createWrites(
  program: string,
  names: readonly string[],
): readonly AheadRequest[] {
  return names.map((name) => ({
    path: `/v1/programs/${program}/services/${SITE_SERVICE}`,
    body: JSON.stringify(createWriteBody(name)),
    headers: HEADERS,
  }));
}

function listRuns(
  { services }: TestSite,
  program: string,
  names: readonly string[],
): readonly string[] {
  return names.filter((name) =>
    services.some((service) => service.countRuns(`${program}/${name}`) > 0)
  );
}

// Guards against an entry that runs all requests of a connection and ends it with the
// first answer.
test("an entry answers requests that were sent ahead", async (t) => {
  const running = await start(t);
  const { client, services } = running;
  const [url = ""] = running.site.entryUrls;
  for (const service of services) service.faults.delayMilliseconds = 300;

  await t.test("in service, in their order", async (t) => {
    const program = await createProgram(client, "service");
    const names = ["a", "b", "c"];
    const caller = await AheadCaller.open(url);
    caller.send(createWrites(program, names));
    const answers = await caller.readAnswers(3);
    caller.socket.destroy();
    t.same(answers.map(({ status }) => status), [200, 200, 200]);
    t.same(listRuns(running, program, names), names);
    const runs = services.flatMap((service) => service.runs)
      .filter(({ key }) => key?.startsWith(`${program}/`));
    t.same(
      runs.map(({ key }) => key),
      names.map((name) => `${program}/${name}`),
    );
  });

  await t.test("behind a stream", async (t) => {
    const program = await createProgram(client, "stream");
    const stream = {
      path: `/v1/programs/${program}/chat/completions`,
      body: JSON.stringify({ ...createModelBody("s", 5), stream: true }),
      headers: HEADERS,
    };
    const caller = await AheadCaller.open(url);
    caller.send([stream, ...createWrites(program, ["a", "b"])]);
    const answers = await caller.readAnswers(3);
    caller.socket.destroy();
    t.same(answers.map(({ status }) => status), [200, 200, 200]);
    t.match(answers[0]?.body, /data: \[DONE\]/);
  });

  await t.test("none behind an answer that ends the connection", async (t) => {
    const program = await createProgram(client, "close");
    const names = ["a", "b", "c"];
    const [first, ...others] = createWrites(program, names);
    if (first === undefined) throw new Error("No request");
    const headers = { ...HEADERS, Connection: "close" };
    const caller = await AheadCaller.open(url);
    caller.send([{ ...first, headers }, ...others]);
    const answers = await caller.readUntilClose();
    t.same(answers.map(({ status }) => status), [200]);
    t.same(listRuns(running, program, names), ["a"]);
  });

  await t.test("while it stops", async (t) => {
    const program = await createProgram(client, "stop");
    const names = ["a", "b", "c"];
    const caller = await AheadCaller.open(url);
    caller.send(createWrites(program, names));
    await sleep(60);
    const stopped = running.site.get("entry-1").process.stop();
    const answers = await caller.readUntilClose();
    t.equal(await stopped, 0);
    t.equal(answers.length, 3);
    for (const answer of answers) {
      const isTrue = answer.status === 200 ||
        JSON.parse(answer.body).error.not_run === true;
      t.ok(answer.whole && isTrue, "each answer is whole and true");
    }
    const served = answers.filter(({ status }) => status === 200).length;
    t.equal(listRuns(running, program, names).length, served);
  });
});

/** Planned stops whose open requests take longer than the stop may take. */

import { readFileSync } from "node:fs";
import { Agent, type IncomingMessage, request } from "node:http";
import { createDeferred, sleep } from "@mallowlift/core";
import { composeAnswer } from "@mallowlift/mocks";
import { test } from "tap";
import { OUTFIT_TOKENS, SITE_SERVICE } from "../site/seed_resources.ts";
import { OPERATOR_TOKEN } from "../site/site_plan.ts";
import {
  createModelBody,
  createProgram,
  createWriteBody,
  startTestSite,
  waitFor,
} from "./test_site.ts";

const STOP_MILLISECONDS = 2_500;
const LONG_WORK_MILLISECONDS = 7_000;
const STREAM_TOKENS = 400;
const JSON_TYPE = "application/json";

/** What a caller got on its connection, however that ended. */
interface RawAnswer {
  readonly status: number;
  readonly text: string;
  readonly retryAfter: string | undefined;
  /** False if the connection ended before the answer was complete. */
  readonly isComplete: boolean;
}

/** Sends a request and reads what comes; the answer may break off. */
function open(url: string, options: {
  readonly agent: Agent;
  readonly method: string;
  readonly path: string;
  readonly token?: string;
  readonly body?: string;
  /** Part of the body to send; the rest never comes. */
  readonly sentBytes?: number;
  readonly onText?: (text: string) => void;
}): Promise<RawAnswer> {
  const { agent, method, path, body = "", sentBytes, onText } = options;
  const answered = createDeferred<RawAnswer>();
  const none = { status: 0, text: "", retryAfter: undefined };
  const call = request(`${url}${path}`, {
    agent,
    method,
    headers: {
      authorization: `Bearer ${options.token ?? OUTFIT_TOKENS.NORTH}`,
      ...body === ""
        ? {}
        : { "content-type": JSON_TYPE, "content-length": body.length },
    },
  }, (response: IncomingMessage) => {
    let text = "";
    response.on("data", (part) => {
      text += String(part);
      onText?.(text);
    });
    response.on("error", () => undefined);
    response.on("close", () =>
      answered.resolve({
        status: response.statusCode ?? 0,
        text,
        retryAfter: response.headers["retry-after"],
        isComplete: response.complete,
      }));
  });
  call.on("error", () => answered.resolve({ ...none, isComplete: false }));
  if (sentBytes === undefined) call.end(body);
  else call.write(body.slice(0, sentBytes));
  return answered.promise;
}

test("a planned stop answers what takes longer", async (t) => {
  const running = await startTestSite(t.testdir(), {
    engine: { stepMilliseconds: 20 },
    plan: {
      services: 2,
      overrides: {
        daemon: { stop_milliseconds: STOP_MILLISECONDS },
        sidecar: { slots: 1 },
      },
    },
  });
  t.teardown(() => running.stop());
  const { client, clients, site, services, engines } = running;
  const readLog = (name: string) =>
    readFileSync(site.get(name).process.plan.logPath, "utf8");
  const setDelay = (milliseconds: number) => {
    for (const service of services) {
      service.faults.delayMilliseconds = milliseconds;
    }
  };
  const countRuns = (key: string) =>
    services.reduce((sum, service) => sum + service.countRuns(key), 0);
  const countOpenRuns = (name: string) =>
    site.readMetrics(name).then((text) =>
      Number(/^mallowlift_running (\d+)/m.exec(text)?.[1] ?? 0)
    );

  // Guards against requests that an entry read and whose sockets it destroyed at
  // the end of its stop without an answer.
  await t.test("of an entry", async (t) => {
    const url = site.entryUrls[0] ?? "";
    const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
    const kept = new Agent({ keepAlive: true, maxSockets: 1 });
    t.teardown(() => {
      agent.destroy();
      kept.destroy();
    });
    const program = await createProgram(client, "entry-write");
    const streamed = await createProgram(client, "entry-stream");
    setDelay(LONG_WORK_MILLISECONDS);
    const writeBody = createWriteBody("w");
    const writing = open(url, {
      agent,
      method: "POST",
      path: `/v1/programs/${program}/services/${SITE_SERVICE}`,
      body: JSON.stringify(writeBody),
    });
    const modelBody = createModelBody("long", STREAM_TOKENS);
    const begun = createDeferred<void>();
    const streaming = open(url, {
      agent,
      method: "POST",
      path: `/v1/programs/${streamed}/chat/completions`,
      body: JSON.stringify({ ...modelBody, stream: true }),
      onText: () => begun.resolve(undefined),
    });
    const partial = open(url, {
      agent,
      method: "POST",
      path: "/v1/programs",
      body: JSON.stringify({ request_id: "partial" }),
      sentBytes: 5,
    });
    const watching = open(url, {
      agent,
      method: "GET",
      path: "/v1/watch?from_revision=0",
      token: OPERATOR_TOKEN,
    });
    await begun.promise;
    await waitFor("a sidecar runs the write", async () => {
      const runs = [
        await countOpenRuns("stakes-1"),
        await countOpenRuns("stakes-2"),
      ];
      return runs.includes(1);
    });
    const warm = await open(url, {
      agent: kept,
      method: "GET",
      path: `/v1/programs/${program}`,
    });
    t.equal(warm.status, 200);

    const stopped = site.get("entry-1").process.stop();
    await waitFor(
      "the entry drains",
      async () => !await site.isHealthy("entry-1"),
    );
    const first = await Promise.race([
      watching.then(() => "the watch"),
      writing.then(() => "the write"),
    ]);
    t.equal(first, "the watch", "a long poll ends early in a stop");
    const item = `/v1/programs/${program}`;
    const resource = "/v1/resources/priority/office";
    for (
      const [method, path, token] of [
        ["POST", "/v1/programs", OUTFIT_TOKENS.NORTH],
        ["GET", item, OUTFIT_TOKENS.NORTH],
        ["DELETE", item, OUTFIT_TOKENS.NORTH],
        ["POST", `${item}/children`, OUTFIT_TOKENS.NORTH],
        ["GET", `${item}/history`, OUTFIT_TOKENS.NORTH],
        ["POST", `${item}/chat/completions`, OUTFIT_TOKENS.NORTH],
        ["POST", `${item}/services/${SITE_SERVICE}`, OUTFIT_TOKENS.NORTH],
        ["GET", "/v1/resources/priority", OPERATOR_TOKEN],
        ["GET", resource, OPERATOR_TOKEN],
        ["PUT", resource, OPERATOR_TOKEN],
        ["DELETE", resource, OPERATOR_TOKEN],
        ["GET", "/v1/watch", OPERATOR_TOKEN],
        ["GET", "/v1/status", OPERATOR_TOKEN],
      ] as const
    ) {
      const body = method === "POST" || method === "PUT"
        ? JSON.stringify({ filler: "x".repeat(100_000) })
        : "";
      const refused = await open(url, {
        agent: kept,
        method,
        path,
        token,
        body,
      });
      t.match(refused, { status: 503, retryAfter: /^\d+$/, isComplete: true }, {
        route: `${method} ${path}`,
      });
      t.match(JSON.parse(refused.text || "{}"), {
        error: { name: "DRAINING", not_run: true },
      });
    }
    const written = await writing;
    t.match(written, { status: 503, retryAfter: /^\d+$/, isComplete: true });
    t.match(JSON.parse(written.text || "{}"), {
      error: { name: "OWNER_LOST", not_run: false, by: "entry" },
    });
    const broken = await streaming;
    t.equal(broken.status, 200);
    t.notOk(broken.isComplete, "a stream that is cut does not look complete");
    t.notMatch(broken.text, "[DONE]");
    t.match(broken.text, "OWNER_LOST");
    const unread = await partial;
    t.match(unread, { status: 503, isComplete: true });
    t.match(unread.text, "DRAINING");
    t.equal(await stopped, 0);
    const lines = readLog("entry-1").split("\n").filter((line) =>
      line.includes("Request ended by a stop")
    );
    t.equal(lines.length, 3, "one log line for each request that was ended");

    const other = clients[1] ?? client;
    const again = await other.callService(program, SITE_SERVICE, writeBody);
    t.equal(again.status, 200);
    t.equal(countRuns(`${program}/w`), 1);
    const whole = await other.streamModel(streamed, modelBody);
    t.ok(whole.whole);
    t.equal(whole.text, composeAnswer(modelBody.messages, STREAM_TOKENS));
    t.equal(engines.reduce((sum, known) => sum + known.generations, 0), 1);
    setDelay(2);
    site.get("entry-1").process.start();
    await site.waitUntilHealthy();
  });

  // Guards against attempts whose sidecar ends without a result: their owners
  // searched for it for eight seconds, and queued ones were not placed elsewhere.
  await t.test("of a sidecar", async (t) => {
    setDelay(LONG_WORK_MILLISECONDS);
    const writes: { key: string; name: string | undefined; status: number }[] =
      [];
    const answers: Promise<void>[] = [];
    let hasExited = false;
    for (let number = 0; number < 4; number++) {
      const program = await createProgram(client, `sidecar-${number}`);
      const body = createWriteBody("w");
      const answering = client.callService(program, SITE_SERVICE, body)
        .then((answer) => {
          const name = answer.body?.error?.name;
          writes.push({
            key: `${program}/w`,
            name: hasExited && name !== undefined ? "late" : name,
            status: answer.status,
          });
        });
      answers.push(answering);
      await sleep(50);
    }
    await waitFor(
      "both sidecars are busy",
      async () =>
        await countOpenRuns("stakes-1") === 1 &&
        await countOpenRuns("stakes-2") === 1,
    );
    const code = await site.get("stakes-1").process.stop();
    hasExited = true;
    t.equal(code, 0);
    setDelay(2);
    await Promise.all(answers);
    const failed = writes.filter((write) => write.status !== 200);
    t.same(
      failed.map(({ name }) => name),
      ["OUTCOME_UNKNOWN"],
      "only the write that ran is lost, and its caller knows before the end",
    );
    // The service does the work of a cut request to its end.
    await waitFor(
      "the write that was cut has run",
      () => failed.every(({ key }) => countRuns(key) > 0),
    );
    for (const { key } of writes) t.equal(countRuns(key), 1, "runs once");
    const lines = readLog("stakes-1").split("\n").filter((line) =>
      line.includes("Attempt ended by a stop")
    );
    t.ok(lines.length >= 1, "the stop names the attempts that it ended");
    site.get("stakes-1").process.start();
    await site.waitUntilHealthy();
  });
});

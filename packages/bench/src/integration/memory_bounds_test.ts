/** Bounds on the memory that entries and sidecars hold for callers. */

import { Agent, type ClientRequest, request } from "node:http";
import { connect } from "node:net";
import { test } from "tap";
import { OUTFIT_TOKENS, SITE_SERVICE } from "../site/seed_resources.ts";
import {
  createProgram,
  createWriteBody,
  startTestSite,
  waitFor,
} from "./test_site.ts";

const BODY_BYTES = 1_000_000;
const TOTAL_BYTES = 8_000_000;
const CALLERS = 24;

/** Returns the bytes that an entry holds, by its metrics. */
function readHeldBytes(metrics: string): number {
  const found = /^mallowlift_held_bytes\{part="entry"\} (\d+)/m.exec(metrics);
  return Number(found?.[1] ?? 0);
}

test("memory that callers make an entry hold", async (t) => {
  const running = await startTestSite(t.testdir(), {
    plan: {
      engines: 1,
      overrides: {
        entry: { max_body_bytes: BODY_BYTES, request_total_bytes: TOTAL_BYTES },
      },
    },
  });
  t.teardown(() => running.stop());
  const { client, southClient, site, services } = running;
  const [service] = services;
  if (service === undefined) throw new Error("The site has no service");

  // Guards against bodies of any number of callers that an entry holds at once.
  await t.test("bodies that do not fit are refused, those of the outfit that holds much first", async (t) => {
    service.faults.delayMilliseconds = 1_500;
    const filler = "x".repeat(BODY_BYTES / 2);
    const program = await createProgram(southClient, "other");
    const programs: string[] = [];
    for (let number = 0; number < CALLERS; number++) {
      programs.push(await createProgram(client, `large-${number}`));
    }
    const callers = programs.map(async (own) => {
      const body = createWriteBody("w");
      return await client.callService(own, SITE_SERVICE, {
        ...body,
        payload: { filler },
      });
    });
    let largest = 0;
    let isDone = false;
    const all = Promise.all(callers).finally(() => isDone = true);
    let other: Promise<number> | undefined;
    await waitFor("the calls have ended", async () => {
      const held = readHeldBytes(await site.readMetrics("entry-1"));
      largest = Math.max(largest, held);
      if (held >= TOTAL_BYTES / 4 && other === undefined) {
        other = southClient.callService(
          program,
          SITE_SERVICE,
          createWriteBody("w"),
        ).then(({ status }) => status);
      }
      return isDone;
    });
    const answers = await all;
    const refused = answers.filter(({ status }) => status === 503);
    t.ok(refused.length > 0, "some are refused");
    t.ok(refused.length < CALLERS, "some are served");
    for (const { body } of refused) {
      t.match(body.error, { name: "OVERLOADED", not_run: true, by: "entry" });
      t.ok(body.error.retry_after_ms > 0);
    }
    t.equal(service.runs.length, CALLERS - refused.length + 1);
    t.ok(largest <= TOTAL_BYTES, "the sum stays within the setting");
    t.equal(await other, 200, "another outfit is still served");
    await waitFor(
      "the bodies are released",
      async () => readHeldBytes(await site.readMetrics("entry-1")) === 0,
    );
    service.faults.delayMilliseconds = 2;
  });

  // Guards against a caller that leaves in the middle of its body.
  await t.test("the bytes of a caller that leaves are released", async (t) => {
    const agent = new Agent();
    const url = site.entryUrls[0] ?? "";
    const open: ClientRequest[] = [];
    for (let number = 0; number < 3; number++) {
      const call = request(`${url}/v1/programs`, {
        agent,
        method: "POST",
        headers: {
          authorization: `Bearer ${OUTFIT_TOKENS.NORTH}`,
          "content-type": "application/json",
          "content-length": BODY_BYTES,
        },
      });
      call.on("error", () => undefined);
      call.write("{");
      open.push(call);
    }
    await waitFor(
      "the entry holds the bodies",
      async () =>
        readHeldBytes(await site.readMetrics("entry-1")) === 3 * BODY_BYTES,
    );
    for (const call of open) call.destroy();
    await waitFor(
      "the bodies are released",
      async () => readHeldBytes(await site.readMetrics("entry-1")) === 0,
    );
    t.equal((await client.createProgram({ request_id: "after" })).status, 201);
  });

  // Guards against a body whose keys replace the prototype of what is parsed, and
  // against bodies that are read differently from before: empty, malformed, large.
  await t.test("malformed, empty and large bodies are told apart", async (t) => {
    const url = site.entryUrls[0] ?? "";
    const send = async (body: string) => {
      const answer = await fetch(`${url}/v1/programs`, {
        method: "POST",
        headers: {
          authorization: `Bearer ${OUTFIT_TOKENS.NORTH}`,
          "content-type": "application/json",
        },
        body,
      });
      const { error } = await answer.json() as { error: { name: string } };
      return error.name;
    };
    t.equal(await send(""), "INVALID_FIELD");
    t.equal(await send("{"), "MALFORMED_JSON");
    t.equal(await send(`{"__proto__": {"a": 1}}`), "MALFORMED_JSON");
    t.equal(await send("x".repeat(BODY_BYTES + 1)), "BODY_TOO_LARGE");
    const { hostname, port } = new URL(url);
    const socket = connect(Number(port), hostname);
    let text = "";
    socket.on("data", (part) => text += String(part));
    socket.on("error", () => undefined);
    const part = "x".repeat(BODY_BYTES / 4);
    socket.write(
      "POST /v1/programs HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n" +
        `authorization: Bearer ${OUTFIT_TOKENS.NORTH}\r\n` +
        "transfer-encoding: chunked\r\n\r\n" +
        `${part.length.toString(16)}\r\n${part}\r\n`.repeat(6) + "0\r\n\r\n",
    );
    await waitFor(
      "the refusal is whole",
      () => text.includes("BODY_TOO_LARGE"),
    );
    socket.destroy();
  });
});

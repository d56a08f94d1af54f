/**
 * A turn goes on from an earlier one within `retentionS`, and its server is slow for
 * a while. When it ends, the next turn goes on from it through another gateway.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { isTroubled, runCase, send, sendEvents, Site, sleep } from "../kit-2/site.mjs";
import { HOST, newId, SERVICES, SITE_SERVICES, streamRoute, turnHeaders } from "../kit-2/config.mjs";

const RETENTION_S = 60;
/** When the second turn is sent, counted from the end of the first one's answer, ms. */
const RETURN_MS = 59_000;
/** The long turn: 36 events, 250 ms apart: 9 s on a server that isn't slow. */
const LONG_EVENTS = 36;
const LONG_PAUSE_MS = 250;
/** srv_slow, at most: x 5 for 6.5 s. */
const SLOW_X = isTroubled ? 5 : 1;
const SLOW_MS = 6_500;

const site = new Site(dirname(fileURLToPath(import.meta.url)), { services: SITE_SERVICES });
const answers = new Map();
const isLong = new Set();
site.serve = async (run, response, head) => {
  const long = isLong.has(run.id);
  const events = Array.from({ length: long ? LONG_EVENTS : 3 }, (_, index) => `${run.id}-token-${index}`);
  const startedAt = Date.now();
  // A slow server takes x times as long for what it does in those seconds.
  const pauseOf = () => long ? Date.now() - startedAt < SLOW_MS ? LONG_PAUSE_MS * SLOW_X : LONG_PAUSE_MS : 20;
  if (await sendEvents(run, response, head, events, pauseOf)) {
    answers.set(run.id, events.map((data) => `${data}\n`).join(""));
  }
};

async function turn(gateway, { program, previous, input, deadlineMs }) {
  const id = newId();
  if (input === "long input") isLong.add(id);
  const answer = await send({
    address: gateway.front, path: "/turns/x", timeoutMs: deadlineMs + 500, body: input,
    headers: turnHeaders({ id, program, previous, deadlineMs }),
  });
  const isWhole = answer.status === 200 && answer.isWhole && answers.has(id);
  site.record("turn", { id, program, previous: previous ?? "-", gateway: gateway.name, status: answer.status, whole: isWhole, error: answer.error });
  return { id, isWhole, status: answer.status };
}

await runCase(site, async () => {
  await site.start();
  await site.configure({ routes: [streamRoute({ timeoutMs: 20_000, retentionS: RETENTION_S })], services: SERVICES });
  await site.waitUntilReady();
  const [first, second, third] = site.gateways;
  // Other programs run all the time, as on any day.
  let isOver = false;
  const others = (async () => {
    for (let number = 0; !isOver; number++) {
      await turn([first, second, third][number % 3], { program: `other-${number}`, input: "other input", deadlineMs: 4_000 });
      await sleep(300);
    }
  })();
  let a;
  for (let tries = 0; tries < 5 && !a?.isWhole; tries++) a = await turn(first, { program: "p", input: "first input", deadlineMs: 4_000 });
  if (!a.isWhole) throw new Error("the first turn was not answered");
  const endedAt = Date.now();
  await sleep(RETURN_MS);
  const sinceFirst = (Date.now() - endedAt) / 1_000;
  const b = await turn(second, { program: "p", previous: a.id, input: "long input", deadlineMs: 20_000 });
  site.record("second turn", { sent_s_after_first: sinceFirst.toFixed(1), ended_s_after_first: ((Date.now() - endedAt) / 1_000).toFixed(1) });
  if (b.status === 404) return `LOST: a turn that ended ${sinceFirst} s ago was answered 404`;
  if (!b.isWhole) throw new Error("the second turn was not answered whole");
  let c;
  for (let tries = 0; tries < 3 && !c?.isWhole; tries++) c = await turn(third, { program: "p", previous: b.id, input: "third input", deadlineMs: 4_000 });
  isOver = true;
  await others;
  const runs = site.servers.flatMap((server) => server.runs);
  const wrong = [];
  for (const [turnId, chain, input] of [[b.id, [a], "long input"], [c.id, [a, b], "third input"]]) {
    const inputs = { [a.id]: "first input", [b.id]: "long input" };
    const expected = chain.map((each) => inputs[each.id] + answers.get(each.id)).join("") + input;
    for (const run of runs.filter(({ id }) => id === turnId)) {
      const isRight = run.body.toString() === expected;
      site.record("checked", { id: turnId, server: run.server, expected_bytes: expected.length, got_bytes: run.body.length, right: isRight });
      if (!isRight) wrong.push(`${turnId} ran with ${run.body.length} bytes instead of ${expected.length}`);
    }
  }
  return wrong.length === 0 ? "" : `UNASKED: a server ran a turn whose body is not its chain and its input: ${wrong.join("; ")}`;
});

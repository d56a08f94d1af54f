import { test } from "tap";
import { callGateway } from "./gateway_caller.ts";
import {
  BODY,
  callAsTold,
  CALLERS,
  checkAttempts,
  startSite,
} from "./large_request_site.ts";

// Guards against answers that are kept for a retry, each up to 1 MiB.
test("answers of 1 MB to many callers stay within the memory of an instance", async (t) => {
  const running = await startSite(t);
  for (const upstream of running.upstreams) upstream.answerBytes = 1_000_000;
  const calls = Array.from({ length: CALLERS }, async (_, number) => {
    const call = { callId: `c-${number}`, path: "/read/", body: "b" };
    return await callAsTold(running.url, call);
  });
  const attempts = await Promise.all(calls);
  checkAttempts(t, running, attempts);
  const bodies = attempts.map((tries) => tries.at(-1)?.result.body.length ?? 0);
  t.ok(bodies.every((length) => length > 1_000_000), "whole answers");
});

// Guards against joined prompts, each as large as the history and the input.
test("large joined prompts at once stay within the memory of an instance", async (t) => {
  const running = await startSite(t);
  const turn = {
    path: "/stream/",
    headers: { "x-program": "p", "x-most-tokens": "6" },
  };
  const input = BODY.subarray(0, 2_000_000);
  const first = { ...turn, callId: "first", body: input };
  t.equal((await callGateway(running.url, first)).status, 200);
  const calls = Array.from(
    { length: 60 },
    (_, number) =>
      callAsTold(running.url, {
        ...turn,
        callId: `t-${number}`,
        body: `input-${number}`,
        headers: { ...turn.headers, "x-previous-turn": "first" },
      }),
  );
  const attempts = await Promise.all(calls);
  checkAttempts(t, running, attempts);
  t.ok(attempts.flat().some(({ result }) => result.status === 503));
  const runs = running.upstreams.flatMap(({ runs }) => runs);
  t.ok(
    runs.every(({ body }) => body.length >= input.length),
    "prompts are whole",
  );
});

// Guards against defaults that fit into an instance only one by one.
test("large bodies, answers, histories and prompts at once stay within the memory of an instance", async (t) => {
  const running = await startSite(t);
  const { url } = running;
  const turn = {
    path: "/stream/",
    headers: { "x-program": "p", "x-most-tokens": "6" },
  };
  const input = BODY.subarray(0, 1_900_000);
  const histories = await Promise.all(
    Array.from(
      { length: 8 },
      (_, number) =>
        callAsTold(url, { ...turn, callId: `h-${number}`, body: input }),
    ),
  );
  for (const upstream of running.upstreams) upstream.answerBytes = 1_000_000;
  const calls = Array.from({ length: CALLERS }, (_, number) => {
    const callId = `c-${number}`;
    if (number % 3 === 0) {
      return callAsTold(url, { callId, path: "/write/", body: BODY });
    }
    if (number % 3 === 1) {
      return callAsTold(url, { callId, path: "/read/", body: "b" });
    }
    const previous = histories[number % 8]?.at(-1)?.callId ?? "";
    const headers = { ...turn.headers, "x-previous-turn": previous };
    return callAsTold(url, { ...turn, callId, body: "input", headers });
  });
  checkAttempts(t, running, [...histories, ...await Promise.all(calls)]);
});

// Guards against turns that begin and are broken off for want of room.
test("turns with large outputs are refused before they begin, and not broken off", async (t) => {
  const running = await startSite(t);
  for (const upstream of running.upstreams) {
    upstream.events = 10;
    upstream.paddingBytes = 100_000;
    upstream.faults.eventIntervalMilliseconds = 50;
  }
  const turn = { path: "/stream/", body: "input" };
  const headers = { "x-most-tokens": "20" };
  const call = (callId: string) =>
    callAsTold(running.url, {
      ...turn,
      callId,
      headers: { ...headers, "x-program": callId },
    });
  const first = await call("first");
  const calls = Array.from({ length: 30 }, (_, n) => call(`t-${n}`));
  const attempts = [first, ...await Promise.all(calls)];
  checkAttempts(t, running, attempts);
  t.ok(attempts.flat().some(({ result }) => result.status === 503));
});

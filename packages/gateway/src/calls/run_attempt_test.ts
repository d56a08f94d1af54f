import { Buffer } from "node:buffer";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { RESULT_CODES } from "@mallowlift/core";
import { test } from "tap";
import { NativeCallerDialect } from "../native_dialect.ts";
import { ByteAccount } from "../memory/byte_account.ts";
import { UnsentRequests } from "../upstreams/unsent_requests.ts";
import { Upstream } from "../upstreams/upstream.ts";
import type { AttemptOptions, AttemptResult } from "./attempt.ts";
import { EarlierSends } from "./earlier_sends.ts";
import { runAttempt } from "./run_attempt.ts";

const BODY = Buffer.alloc(16_777_216, "a");
const LIMITS = { upstreamBytes: 2 * BODY.length, totalBytes: 1_000_000_000 };
const ATTEMPTS = 10;

function createUpstream(server: Server): Upstream {
  const { port } = server.address() as AddressInfo;
  return new Upstream({
    id: "u",
    service: "s",
    address: `127.0.0.1:${port}`,
    failureDomain: "hall-kawah",
    slots: ATTEMPTS,
    leaving: false,
  });
}

function createOptions(upstream: Upstream): AttemptOptions {
  return {
    upstream,
    request: { method: "GET", target: "/", headers: [], body: Buffer.alloc(0) },
    callId: "c",
    earlier: new EarlierSends(),
    dialect: new NativeCallerDialect(),
    limits: {
      maxConnections: ATTEMPTS,
      connectMilliseconds: 5_000,
      idleMilliseconds: 5_000,
    },
    signal: new AbortController().signal,
    silentMilliseconds: Infinity,
    streamSilentMilliseconds: Infinity,
    maxAnswerBytes: Infinity,
    body: { start: () => true, push: () => undefined },
    flow: { setSource: () => undefined },
    openAnswer: () =>
      new ByteAccount(LIMITS.totalBytes).open({ owner: undefined, now: 0 }),
    unsent: new UnsentRequests(LIMITS),
    findRefusal: () => undefined,
  };
}

/**
 * An upstream that accepts connections and does not read: each request body
 * stayed in the gateway until the call's timeout.
 */
test("an upstream that does not read is full once its bound is reached", async (t) => {
  const sockets: Socket[] = [];
  const server = createServer({ pauseOnConnect: true }, (socket) => {
    sockets.push(socket.on("error", () => socket.destroy()));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const upstream = createUpstream(server);
  const unsent = new UnsentRequests(LIMITS);
  const controller = new AbortController();
  const results: AttemptResult[] = [];
  const attempts = Array.from({ length: ATTEMPTS }, async () => {
    const result = await runAttempt({
      ...createOptions(upstream),
      request: { method: "POST", target: "/", headers: [], body: BODY },
      signal: controller.signal,
      unsent,
    });
    results.push(result);
    if (results.length === ATTEMPTS - 2) controller.abort();
  });
  await Promise.all(attempts);
  const refused = results.filter((result) =>
    result.kind === "not_run" && result.error.code === RESULT_CODES.QUEUE_FULL
  );
  t.equal(refused.length, ATTEMPTS - 2);
  t.equal(results.filter(({ kind }) => kind === "lost").length, 2);
  t.equal(unsent.totalBytes, 0, "an abandoned request does not count");
});

// Guards against idle connections to an upstream that have gone silent without a
// reset and fail one request each, while new connections work.
test("one silent connection is enough to replace the idle ones of its upstream", async (t) => {
  const answer =
    "HTTP/1.1 200 OK\r\nx-call-id: c\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n";
  const sockets: Socket[] = [];
  const silent = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.push(socket.on("error", () => socket.destroy()));
    socket.on("data", () => {
      if (!silent.has(socket)) socket.write(answer);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const options = {
    ...createOptions(createUpstream(server)),
    silentMilliseconds: 200,
  };
  // Each request is a call of its own.
  const run = async () =>
    (await runAttempt({ ...options, earlier: new EarlierSends() })).kind;
  t.same(await Promise.all([run(), run(), run()]), ["whole", "whole", "whole"]);
  for (const socket of sockets) silent.add(socket);
  t.equal(await run(), "lost");
  t.equal(await run(), "whole");
});

// Guards against an answer that does not continue the caller's stream: passing on its
// head threw in a callback of the connection and ended the process.
test("an answer that cannot be passed on is a lost attempt", async (t) => {
  const body = "x".repeat(64);
  const answer = "HTTP/1.1 500 Failed\r\nx-call-id: c\r\n" +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
  const server = createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.on("data", () => void socket.write(answer));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
  t.teardown(() => server.close());
  const account = new ByteAccount(LIMITS.totalBytes);
  t.ok(account.open({ owner: undefined, now: 0 }).tryResize(LIMITS.totalBytes));
  const result = await runAttempt({
    ...createOptions(createUpstream(server)),
    openAnswer: () => account.open({ owner: undefined, now: 0 }),
    body: {
      start: () => false,
      push: () => t.fail("nothing of it is passed on"),
    },
  });
  t.equal(result.kind, "lost");
});

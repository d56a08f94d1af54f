import { type AddressInfo, connect, createServer } from "node:net";
import { once } from "node:events";
import {
  createDeferred,
  createMetrics,
  fail,
  RESULT_CODES,
  SILENT_LOGGER,
} from "@mallowlift/core";
import { FaultProxy } from "@mallowlift/mocks";
import { type Test, test } from "tap";
import { Ok } from "ts-results";
import { parseAddress } from "./address.ts";
import { Connection } from "./connection.ts";
import { FrameReader } from "./frame.ts";
import type { HandlerTable } from "./handlers.ts";
import { PeerLink } from "./peer_link.ts";
import { PeerServer } from "./peer_server.ts";

const SHARED_KEY = "shared";
const LIMITS = { maxFrameBytes: 65_536, connectMilliseconds: 2_000 };
const CALL = { timeoutMilliseconds: 5_000 };

async function startServer(handlers: HandlerTable) {
  const metrics = createMetrics();
  const server = new PeerServer({
    listen: "127.0.0.1:0",
    sharedKey: SHARED_KEY,
    maxFrameBytes: LIMITS.maxFrameBytes,
    handshakeMilliseconds: LIMITS.connectMilliseconds,
    handlers,
    logger: SILENT_LOGGER,
    metrics,
  });
  return { server, metrics, address: await server.start() };
}

function createLink(address: string, sharedKey = SHARED_KEY): PeerLink {
  return new PeerLink(address, { name: "test", sharedKey, ...LIMITS });
}

/** Starts a peer that never answers; returns a function that connects to it. */
async function startSilentPeer(t: Test): Promise<() => Connection> {
  const silent = createServer({ pauseOnConnect: true });
  await new Promise<void>((resolve) =>
    silent.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => silent.close());
  const { port } = silent.address() as AddressInfo;
  return () =>
    new Connection({
      socket: connect(port, "127.0.0.1"),
      reader: new FrameReader(1_024),
      peer: "silent",
      handlers: {},
      onMalformed: () => undefined,
    });
}

test("a call returns its chunks and its reply, or the code of an error", async (t) => {
  const { server, address } = await startServer({
    "attempts.attach": (request, context) => {
      context.sendChunk({ offset: request.offset, text: "ice" });
      return Promise.resolve(Ok({}));
    },
    "consensus.join": () =>
      Promise.resolve(fail(RESULT_CODES.NOT_LEADER, "Elsewhere")),
  });
  const link = createLink(address);
  const chunks: string[] = [];
  const key = { group: 1, programId: "p", requestId: "r", attempt: 1 };
  const attached = await link.call("attempts.attach", { key, offset: 0 }, {
    ...CALL,
    onChunk: (chunk) => chunks.push(chunk.text),
  });
  t.ok(attached.ok);
  t.same(chunks, ["ice"]);
  const member = {
    replicaId: "a",
    incarnation: "b",
    role: "voter",
    address: "",
    failureDomain: "",
  } as const;
  const refused = await link.call("consensus.join", {
    group: 1,
    member,
    knowsItself: true,
  }, CALL);
  t.equal(refused.err && refused.val.code, RESULT_CODES.NOT_LEADER);
  const unknown = await link.call("replica.status", {}, CALL);
  t.equal(unknown.err && unknown.val.code, RESULT_CODES.UNKNOWN_METHOD);
  link.stop();
  await server.stop();
});

test("a lost connection ends a call with CONNECTION_LOST and aborts its handler", async (t) => {
  const started = createDeferred<void>();
  const aborted = createDeferred<void>();
  const { server, address } = await startServer({
    "replica.status": (_request, context) => {
      context.signal.addEventListener(
        "abort",
        () => aborted.resolve(undefined),
      );
      started.resolve(undefined);
      return new Promise(() => undefined);
    },
  });
  const proxy = new FaultProxy(parseAddress(address));
  await proxy.start();
  const link = createLink(proxy.address);
  const outcome = link.call("replica.status", {}, CALL);
  await started.promise;
  proxy.reset();
  const lost = await outcome;
  t.equal(lost.err && lost.val.code, RESULT_CODES.CONNECTION_LOST);
  await aborted.promise;
  link.stop();
  await proxy.stop();
  await server.stop();
});

test("a peer with another shared key is rejected and no call is sent", async (t) => {
  const { server, address } = await startServer({});
  const link = new PeerLink(address, {
    name: "test",
    sharedKey: "other",
    maxFrameBytes: 1_024,
    connectMilliseconds: 200,
  });
  const refused = await link.call("replica.status", {}, CALL);
  t.equal(refused.err && refused.val.code, RESULT_CODES.NOT_CONNECTED);
  link.stop();
  await server.stop();
});

test("invalid bytes on the port are rejected and counted, and the server keeps serving", async (t) => {
  const { server, metrics, address } = await startServer({
    "cache.release": () => Promise.resolve(Ok({})),
  });
  const garbage = connect(parseAddress(address));
  garbage.on("error", () => undefined);
  garbage.resume();
  garbage.write("GET / HTTP/1.1\r\n\r\n");
  await once(garbage, "close");
  const counted = await metrics.malformedFrames.get();
  t.equal(counted.values[0]?.labels.reason, "HANDSHAKE_REFUSED");
  const link = createLink(address);
  t.ok((await link.call("cache.release", { programId: "p" }, CALL)).ok);
  link.stop();
  await server.stop();
});

test("a connection that receives nothing after a call is closed, an idle one stays open", async (t) => {
  const connectToSilentPeer = await startSilentPeer(t);
  const idle = connectToSilentPeer();
  const called = connectToSilentPeer();
  const answer = await called.call("replica.status", {}, {
    timeoutMilliseconds: 60_000,
  });
  t.equal(answer.err && answer.val.code, RESULT_CODES.CONNECTION_LOST);
  t.ok(idle.isOpen);
  idle.close();
});

// Guards against calls that go on failing over a connection that has gone silent
// without a reset, although a new connection would work.
test("a silent connection is replaced before the silence closes it", async (t) => {
  const { server, address } = await startServer({
    "replica.status": () => Promise.resolve(fail(RESULT_CODES.NOT_LEADER, "")),
  });
  const proxy = new FaultProxy(parseAddress(address));
  await proxy.start();
  const link = createLink(proxy.address);
  await link.call("replica.status", {}, CALL);
  const unreplaced = (await startSilentPeer(t))();
  proxy.silenceOpenConnections();
  const closed = unreplaced.call("replica.status", {}, {
    timeoutMilliseconds: 60_000,
  });
  const lost = await link.call("replica.status", {}, CALL);
  t.equal(lost.err && lost.val.code, RESULT_CODES.CONNECTION_LOST);
  const answered = await link.call("replica.status", {}, CALL);
  t.equal(answered.err && answered.val.code, RESULT_CODES.NOT_LEADER);
  t.ok(unreplaced.isOpen, "the silence is not over yet");
  await closed;
  link.stop();
  await proxy.stop();
  await server.stop();
});

// Guards against the loss of calls in flight to a peer that is busy or frozen.
test("the connection to a silent peer that accepts no other one is kept", async (t) => {
  const { server, address } = await startServer({
    "replica.status": () => Promise.resolve(fail(RESULT_CODES.NOT_LEADER, "")),
  });
  const proxy = new FaultProxy(parseAddress(address));
  await proxy.start();
  const metrics = createMetrics();
  const link = new PeerLink(proxy.address, {
    name: "test",
    sharedKey: SHARED_KEY,
    ...LIMITS,
    metrics,
  });
  await link.call("replica.status", {}, CALL);
  proxy.faults.refuse = true;
  // The answer takes longer than the silence after which a replacement is tried.
  proxy.faults.delayMilliseconds = 1_100;
  const answered = await link.call("replica.status", {}, CALL);
  t.equal(answered.err && answered.val.code, RESULT_CODES.NOT_LEADER);
  const replaced = await metrics.silentConnections.get();
  t.equal(replaced.values[0]?.value, 0);
  link.stop();
  await proxy.stop();
  await server.stop();
});

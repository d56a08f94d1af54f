import {
  createDeferred,
  createMetrics,
  fail,
  RESULT_CODES,
  SILENT_LOGGER,
  sleep,
} from "@mallowlift/core";
import { FaultProxy } from "@mallowlift/mocks";
import { test } from "tap";
import { Ok } from "ts-results";
import { parseAddress } from "./address.ts";
import { PeerLink } from "./peer_link.ts";
import { PeerServer } from "./peer_server.ts";

const SHARED_KEY = "shared";
const MAX_FRAME_BYTES = 65_536;
const CONNECT_MILLISECONDS = 2_000;

// Guards against the server's end of a silent connection that stays open for good
// after its client has given it up.
test("a server closes an idle connection that has gone silent, and no other", async (t) => {
  const server = new PeerServer({
    listen: "127.0.0.1:0",
    sharedKey: SHARED_KEY,
    maxFrameBytes: MAX_FRAME_BYTES,
    handshakeMilliseconds: CONNECT_MILLISECONDS,
    idleProbeMilliseconds: 200,
    handlers: {
      "replica.status": () =>
        Promise.resolve(fail(RESULT_CODES.NOT_LEADER, "")),
    },
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  const address = await server.start();
  const silent = new FaultProxy(parseAddress(address));
  const idle = new FaultProxy(parseAddress(address));
  const links: PeerLink[] = [];
  for (const proxy of [silent, idle]) {
    await proxy.start();
    const link = new PeerLink(proxy.address, {
      name: "test",
      sharedKey: SHARED_KEY,
      maxFrameBytes: MAX_FRAME_BYTES,
      connectMilliseconds: CONNECT_MILLISECONDS,
    });
    await link.call("replica.status", {}, { timeoutMilliseconds: 5_000 });
    links.push(link);
  }
  t.equal(silent.acceptedConnections, 1);
  silent.silenceOpenConnections();
  // An idle link notices only the close by its server, and connects again.
  while (silent.acceptedConnections === 1) await sleep(50);
  t.equal(idle.acceptedConnections, 1, "its client answers pings");
  for (const link of links) link.stop();
  await silent.stop();
  await idle.stop();
  await server.stop();
});

// Guards against a reply or call larger than a frame, which closed the connection
// and with it ended all other calls of two daemons.
test("a reply or call larger than a frame fails alone", async (t) => {
  const answering = createDeferred<void>();
  const large = "x".repeat(2 * MAX_FRAME_BYTES);
  const server = new PeerServer({
    listen: "127.0.0.1:0",
    sharedKey: SHARED_KEY,
    maxFrameBytes: MAX_FRAME_BYTES,
    handshakeMilliseconds: CONNECT_MILLISECONDS,
    handlers: {
      "cache.release": async () => {
        await answering.promise;
        return Ok({});
      },
      "programs.alive": () => Promise.resolve(Ok({ alive: [large] })),
    },
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  const address = await server.start();
  const link = new PeerLink(address, {
    name: "test",
    sharedKey: SHARED_KEY,
    maxFrameBytes: MAX_FRAME_BYTES,
    connectMilliseconds: CONNECT_MILLISECONDS,
  });
  const options = { timeoutMilliseconds: 5_000 };
  const other = link.call("cache.release", { programId: "p" }, options);
  const replied = await link.call(
    "programs.alive",
    { group: 1, programIds: [] },
    options,
  );
  t.equal(replied.err && replied.val.code.name, "INTERNAL");
  const called = await link.call(
    "programs.alive",
    { group: 1, programIds: [large] },
    options,
  );
  t.equal(called.err && called.val.code.name, "FRAME_TOO_LARGE");
  answering.resolve(undefined);
  t.ok((await other).ok, "the other call is answered");
  link.stop();
  await server.stop();
});

import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import fc from "fast-check";
import { type Test, test } from "tap";
import { SILENT_LOGGER } from "../logs/logger.ts";
import { createMetrics } from "../metrics/metrics.ts";
import { sleep } from "../shared/sleep.ts";
import { MAX_WAITING_REQUESTS } from "./ordered_connection.ts";
import { OrderedServer } from "./ordered_server.ts";

const SEED = 6_802;

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

interface Started {
  readonly server: OrderedServer;
  /** Targets of the requests in the order in which they began to run. */
  readonly begun: string[];
  connect(): Promise<Socket>;
  countLeftBehind(): Promise<number>;
}

async function start(t: Test, handle: Handler): Promise<Started> {
  const metrics = createMetrics();
  const server = new OrderedServer({
    part: "test",
    logger: SILENT_LOGGER,
    metrics,
  });
  const begun: string[] = [];
  server.on("request", (request, response) => {
    begun.push(request.url ?? "");
    handle(request, response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    server,
    begun,
    connect: async () => {
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => undefined);
      await once(socket, "connect");
      return socket;
    },
    countLeftBehind: async () => {
      const { values } = await metrics.requestsLeftBehind.get();
      return values.reduce((sum, { value }) => sum + value, 0);
    },
  };
}

function writeRequest(target: string, body = ""): string {
  return `POST ${target} HTTP/1.1\r\nHost: a\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Collects what arrives on a connection. */
function collect(socket: Socket): { text: string } {
  const received = { text: "" };
  socket.on("data", (bytes) => received.text += String(bytes));
  return received;
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await sleep(2);
}

function listBodies(text: string): readonly string[] {
  return [...text.matchAll(/answer (\S+);/g)].map((match) => match[1] ?? "");
}

test("requests run one after another and are answered in their order", async (t) => {
  let running = 0;
  let mostRunning = 0;
  const started = await start(t, async (request, response) => {
    mostRunning = Math.max(mostRunning, ++running);
    response.once("close", () => running--);
    let body = "";
    for await (const part of request) body += String(part);
    await sleep(body.length % 4);
    response.end(`answer ${request.url}-${body.length};`);
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.integer({ min: 0, max: 40_000 }), {
        minLength: 1,
        maxLength: 6,
      }),
      fc.array(fc.integer({ min: 1, max: 20_000 }), { maxLength: 8 }),
      async (bodies, sizes) => {
        const socket = await started.connect();
        const received = collect(socket);
        const bytes = Buffer.from(
          bodies.map((length, number) =>
            writeRequest(`/${number}`, "x".repeat(length))
          ).join(""),
        );
        let position = 0;
        for (const size of sizes) {
          socket.write(bytes.subarray(position, position + size));
          position += size;
          await sleep(1);
        }
        socket.write(bytes.subarray(position));
        const expected = bodies.map((length, number) => `/${number}-${length}`);
        await waitUntil(() =>
          listBodies(received.text).length >= bodies.length
        );
        t.same(listBodies(received.text), expected);
        socket.destroy();
        await waitUntil(() => running === 0);
      },
    ),
    { seed: SEED, numRuns: 60 },
  );
  t.equal(mostRunning, 1, "connections are used one at a time here");
  t.equal(started.server.openRequests, 0);
});

test("an answer that ends the connection leaves those behind it unrun", async (t) => {
  const started = await start(t, (request, response) => {
    if (request.url === "/2") response.shouldKeepAlive = false;
    response.end(`answer ${request.url};`);
  });
  const socket = await started.connect();
  const received = collect(socket);
  socket.write(
    ["/1", "/2", "/3", "/4"].map((each) => writeRequest(each)).join(""),
  );
  await once(socket, "close");
  t.same(listBodies(received.text), ["/1", "/2"]);
  t.same(started.begun, ["/1", "/2"]);
  t.equal(await started.countLeftBehind(), 2);
  t.equal(started.server.openRequests, 0);
});

test("Node's own refusal ends the connection, and nothing behind it runs", async (t) => {
  const started = await start(t, (request, response) => {
    response.end(`answer ${request.url};`);
  });
  const socket = await started.connect();
  const received = collect(socket);
  const withoutHost = "GET /2 HTTP/1.1\r\n\r\n";
  socket.write(`${writeRequest("/1")}${withoutHost}${writeRequest("/3")}`);
  await once(socket, "close");
  t.same(started.begun, ["/1"]);
  t.match(received.text, /answer \/1;[^]*400 Bad Request/);
  t.equal(started.server.openRequests, 0);
});

test("an ending server closes each connection with the last answer", async (t) => {
  const started = await start(t, async (request, response) => {
    await sleep(20);
    response.end(`answer ${request.url};`);
  });
  const socket = await started.connect();
  const received = collect(socket);
  const ended = once(socket, "close");
  socket.write(["/1", "/2", "/3"].map((each) => writeRequest(each)).join(""));
  await waitUntil(() => started.begun.length === 1);
  const closed = started.server.closeAnswered(10_000);
  await ended;
  await closed;
  t.same(listBodies(received.text), ["/1", "/2", "/3"]);
  t.equal(received.text.split("Connection: close").length - 1, 1);
  t.match(received.text, /Connection: close(?![^]*HTTP\/1\.1)/);
});

// Guards against an answer that was written and is not sent yet when idle connections
// are closed: to Node, its connection is idle.
test("idle connections are closed, but none with an unsent answer", async (t) => {
  const length = 8 * 1_048_576;
  const started = await start(t, (_request, response) => {
    response.end(Buffer.alloc(length, "x"));
  });
  const socket = await started.connect();
  socket.pause();
  socket.write(writeRequest("/1"));
  await waitUntil(() => started.begun.length === 1);
  const closed = started.server.closeAnswered(20_000);
  await sleep(150);
  let received = 0;
  socket.on("data", (bytes) => received += bytes.length);
  socket.resume();
  await once(socket, "close");
  await closed;
  t.ok(received > length, "the whole body arrived");
});

test("bytes that are no request do not answer the request before them", async (t) => {
  const started = await start(t, async (request, response) => {
    await sleep(30);
    response.end(`answer ${request.url};`);
  });
  const socket = await started.connect();
  const received = collect(socket);
  socket.write(`${writeRequest("/1")}${writeRequest("/2")}no request\r\n\r\n`);
  await once(socket, "close");
  t.same(listBodies(received.text), ["/1", "/2"]);
  t.notMatch(received.text, /HTTP\/1\.1 400/);
});

test("a caller that disconnects ends the running request, and no other runs", async (t) => {
  let hasLeft = false;
  const started = await start(t, (_request, response) => {
    response.once("close", () => hasLeft = !response.writableFinished);
  });
  const socket = await started.connect();
  socket.write(["/1", "/2", "/3"].map((each) => writeRequest(each)).join(""));
  await waitUntil(() => started.server.openRequests === 3);
  socket.end();
  await waitUntil(() => hasLeft);
  await waitUntil(() => started.server.openRequests === 0);
  t.same(started.begun, ["/1"]);
  t.equal(await started.countLeftBehind(), 2);
});

test("a connection with many waiting requests is not read on until one is done", async (t) => {
  let release = () => {};
  const isReleased = new Promise<void>((resolve) => release = resolve);
  const started = await start(t, async (request, response) => {
    await isReleased;
    response.end(`answer ${request.url};`);
  });
  const socket = await started.connect();
  const received = collect(socket);
  const count = 4 * MAX_WAITING_REQUESTS;
  const targets = Array.from({ length: count }, (_, number) => `/${number}`);
  for (const target of targets) {
    socket.write(writeRequest(target));
    await sleep(2);
  }
  t.equal(started.server.openRequests, MAX_WAITING_REQUESTS + 1);
  release();
  await waitUntil(() => listBodies(received.text).length >= count);
  t.same(listBodies(received.text), targets);
});

test("a waiting request with an unread body does not stop the one before it", async (t) => {
  const length = 8 * 1_048_576;
  let release = () => {};
  const isReleased = new Promise<void>((resolve) => release = resolve);
  const started = await start(t, async (request, response) => {
    if (request.url === "/1") await isReleased;
    let bytes = 0;
    for await (const part of request) bytes += (part as Buffer).length;
    response.end(`answer ${request.url}-${bytes};`);
  });
  const socket = await started.connect();
  const received = collect(socket);
  socket.write(writeRequest("/1", "x".repeat(100)));
  socket.write(writeRequest("/2", "x".repeat(length)));
  socket.write(writeRequest("/3"));
  await sleep(200);
  t.ok(socket.writableLength > length / 4, "most of the body is not read");
  release();
  await waitUntil(() => listBodies(received.text).length === 3);
  t.same(listBodies(received.text), ["/1-100", `/2-${length}`, "/3-0"]);
});

// Guards against an answer that loses its end, because its connection is closed with
// the unread body of a request behind it.
test("an answer that ends its connection is whole with a body behind it", async (t) => {
  const answer = "x".repeat(200_000);
  const started = await start(t, async (request, response) => {
    if (request.url !== "/1") return void response.end("behind");
    await sleep(50);
    response.shouldKeepAlive = false;
    response.writeHead(200, { "Content-Length": answer.length });
    response.end(answer);
  });
  const socket = await started.connect();
  const received = collect(socket);
  socket.write(writeRequest("/1"));
  socket.write(writeRequest("/2", "y".repeat(1_048_576)));
  await waitUntil(() => socket.destroyed || received.text.endsWith(answer));
  t.ok(received.text.endsWith(answer));
});

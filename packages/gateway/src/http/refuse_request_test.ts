import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "tap";
import { refuseRequest } from "./refuse_request.ts";

const MAX_BYTES = 1_000_000;
const ANSWER = { status: 503, headers: ["Retry-After", "1"], body: "full" };

/** Sends a head and parts of a body; resolves with all that came back. */
function send(
  port: number,
  head: string,
  parts: { readonly count: number; readonly bytes: Buffer },
): Promise<{ readonly answer: string; readonly sent: number }> {
  return new Promise((resolve) => {
    let answer = "";
    let sent = 0;
    const socket = connect(port, "127.0.0.1");
    socket.write(`POST / HTTP/1.1\r\nHost: a\r\n${head}\r\n\r\n`);
    const sendNext = () => {
      if (sent >= parts.count || socket.destroyed) return;
      sent++;
      socket.write(parts.bytes, () => setImmediate(sendNext));
    };
    sendNext();
    socket.on("data", (bytes) => answer += String(bytes));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve({ answer, sent }));
  });
}

async function serveRefusals(
  t: { teardown(stop: () => void): void },
  closes: boolean,
): Promise<number> {
  const server = createServer((request, response) => {
    if (closes) response.setHeader("Connection", "close");
    refuseRequest(request, response, { answer: ANSWER, maxBytes: MAX_BYTES });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve());
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

// Guards against a reset that takes a refusal from its caller, because the
// connection was closed with unread bytes of the body.
test("a refusal that closes its connection arrives whole, and the body is read before", async (t) => {
  const port = await serveRefusals(t, true);
  const bytes = Buffer.alloc(50_000, "b");
  const head = `Content-Length: ${10 * bytes.length}`;
  for (let round = 0; round < 20; round++) {
    const { answer, sent } = await send(port, head, { count: 10, bytes });
    t.match(answer, /^HTTP\/1\.1 503 [\s\S]*\r\n\r\nfull$/);
    t.equal(sent, 10);
  }
});

// Guards against a refused body without end, which was read for as long as its
// caller liked.
test("a refused body without end is not read to its end", async (t) => {
  const port = await serveRefusals(t, false);
  const bytes = Buffer.from(`c350\r\n${"b".repeat(50_000)}\r\n`);
  const { answer, sent } = await send(port, "Transfer-Encoding: chunked", {
    count: 10_000,
    bytes,
  });
  t.match(answer, /^HTTP\/1\.1 503 [\s\S]*\r\n\r\nfull$/);
  t.ok(sent < 10_000, String(sent));
});

test("the connection of a refused request carries the next one", async (t) => {
  const port = await serveRefusals(t, false);
  const next = "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
    "Content-Length: 1\r\n\r\nb";
  const { answer } = await send(port, "Content-Length: 6", {
    count: 1,
    bytes: Buffer.from(`body!!${next}`),
  });
  t.equal(answer.match(/HTTP\/1\.1 503/g)?.length, 2);
});

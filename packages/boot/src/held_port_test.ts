import { createServer } from "node:http";
import { connect, type Socket } from "node:net";
import { test } from "tap";
import { HeldPort } from "./held_port.ts";

const LOOPBACK = { host: "127.0.0.1", port: 0 };
const BODY = "x".repeat(300_000);

function createLengthServer() {
  return createServer((request, response) => {
    let length = 0;
    request.on("data", (bytes: Uint8Array) => length += bytes.length);
    request.on("end", () => response.end(`read ${length}`));
  });
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

function readUntil(socket: Socket, text: string): Promise<string> {
  return new Promise((resolve) => {
    let read = "";
    socket.on("data", (bytes) => {
      read += bytes.toString();
      if (read.includes(text)) resolve(read);
    });
  });
}

test("a request sent before the server starts is answered by the server", async (t) => {
  const held = await HeldPort.open(LOOPBACK);
  const caller = connect(held.port, LOOPBACK.host);
  const answer = readUntil(caller, "read 300000");
  caller.write(
    `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  );
  await waitFor(() => held.waiting === 1);
  const server = createLengthServer();
  await held.handOver(server);
  t.match(await answer, /^HTTP\/1\.1 200/);
  t.equal(held.waiting, 0);
  const later = await fetch(`http://127.0.0.1:${held.port}/`);
  t.equal(await later.text(), "read 0");
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
});

test("a caller that disconnects while it waits does not affect others", async (t) => {
  const held = await HeldPort.open(LOOPBACK);
  const caller = connect(held.port, LOOPBACK.host);
  caller.write("POST / HTTP/1.1\r\n");
  await waitFor(() => held.waiting === 1);
  caller.resetAndDestroy();
  const server = createLengthServer();
  await held.handOver(server);
  const later = await fetch(`http://127.0.0.1:${held.port}/`);
  t.equal(await later.text(), "read 0");
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
});

test("nothing is read before the server starts", async (t) => {
  const held = await HeldPort.open(LOOPBACK);
  const caller = connect(held.port, LOOPBACK.host);
  const closed = new Promise<boolean>((resolve) => {
    caller.on("error", () => undefined);
    caller.on("close", resolve);
  });
  caller.write("POST / HTTP/1.1\r\nHost: a\r\n\r\n");
  await waitFor(() => held.waiting === 1);
  held.close();
  // Closing a socket with unread bytes resets the connection.
  t.equal(await closed, true);
});

test("opening a port in use is an error", async (t) => {
  const held = await HeldPort.open(LOOPBACK);
  await t.rejects(HeldPort.open({ ...LOOPBACK, port: held.port }), {
    code: "EADDRINUSE",
  });
  const server = createLengthServer();
  await held.handOver(server);
  await new Promise((resolve) => server.close(resolve));
});

"use strict";
/**
 * A stand-in for a server of the users' pages (PROTOCOL.md, "Servers"). It works
 * on `slots` requests at a time and queues a few more, serves one request at a
 * time on a connection, and drops a request whose connection closes. Faults are
 * given as hooks.
 */
const net = require("node:net");

class Server {
  /**
   * @param options id, service, ip, port, zone, slots, queue, workMs(request),
   * record(event), and `answer(request, server)` which may replace the plain answer
   */
  constructor(options) {
    this.options = { slots: 6, queue: 24, workMs: () => 100, ...options };
    this.running = 0;
    this.waiting = [];
    this.sockets = new Set();
    this.listener = net.createServer((socket) => this.#accept(socket));
    this.stamps = 0;
  }

  listen() {
    const { ip, port } = this.options;
    return new Promise((resolve) => this.listener.listen(port, ip, resolve));
  }

  entry(state = "ready") {
    const { id, service, ip, port, zone, slots } = this.options;
    return { id, service, address: `${ip}:${port}`, zone, version: "v1", slots, state, coldLeftMs: 0, ...this.options.entry };
  }

  close() {
    this.listener.close();
    for (const socket of this.sockets) socket.destroy();
  }

  #accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    const connection = { socket, bytes: Buffer.alloc(0), request: undefined, late: [] };
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.sockets.delete(socket);
      this.#drop(connection);
    });
    socket.on("data", (bytes) => {
      connection.bytes = Buffer.concat([connection.bytes, bytes]);
      this.#parse(connection);
    });
  }

  #parse(connection) {
    if (connection.request !== undefined) return;
    const end = connection.bytes.indexOf("\r\n\r\n");
    if (end < 0) return;
    const lines = connection.bytes.subarray(0, end).toString("latin1").split("\r\n");
    const [method, target] = lines[0].split(" ");
    const headers = {};
    for (const line of lines.slice(1)) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    const length = Number(headers["content-length"] ?? 0);
    if (connection.bytes.length < end + 4 + length) return;
    const body = connection.bytes.subarray(end + 4, end + 4 + length);
    connection.bytes = connection.bytes.subarray(end + 4 + length);
    const id = headers["mallowlift-request-id"] ?? "";
    const request = { id, method, target, headers, body, connection, state: "waiting", arrivedAt: Date.now() };
    connection.request = request;
    this.#admit(request);
  }

  #admit(request) {
    const { options } = this;
    request.connection.socket.emit("asked");
    options.onRequest?.(request, this);
    const expected = request.headers["mallowlift-expect-instance"];
    if (expected !== undefined && expected !== options.id) {
      return this.refuse(request, 421);
    }
    const load = this.running + this.waiting.length;
    if (load >= options.slots + options.queue) return this.refuse(request, 503);
    this.waiting.push(request);
    this.#startNext();
  }

  #startNext() {
    while (this.running < this.options.slots && this.waiting.length > 0) {
      const request = this.waiting.shift();
      const deadline = Number(request.headers["mallowlift-deadline-ms"] ?? Infinity);
      if (Date.now() - request.arrivedAt > deadline) {
        this.refuse(request, 503);
        continue;
      }
      this.running++;
      request.state = "running";
      const { record, id, workMs, answer } = this.options;
      record?.({ kind: "run", id: request.id, server: id, request });
      request.timer = setTimeout(() => {
        this.#release(request);
        if (answer !== undefined) answer(request, this);
        else this.answer(request, 200, Buffer.from(`${id} ${request.id}`));
      }, workMs(request));
    }
  }

  #release(request) {
    if (request.state !== "running") return;
    request.state = "done";
    clearTimeout(request.timer);
    this.running--;
    setImmediate(() => this.#startNext());
  }

  #drop(connection) {
    const { request } = connection;
    if (request === undefined) return;
    if (request.state === "waiting") {
      this.waiting = this.waiting.filter((other) => other !== request);
    }
    request.isDropped = true;
    this.#release(request);
  }

  /** Turns a request away without running it. */
  refuse(request, status) {
    request.state = "refused";
    this.options.record?.({ kind: "refused", id: request.id, server: this.options.id, status, request });
    this.answer(request, status, Buffer.from("full"), ["Mallowlift-Not-Executed: 1"]);
  }

  /** Formats an answer. */
  format(request, status, body, more = []) {
    const stamp = `${this.options.id}.${++this.stamps}`;
    const head = [
      `HTTP/1.1 ${status} X`,
      `Mallowlift-Request-Id: ${request.id}`,
      `Mallowlift-Server-Stamp: ${stamp}`,
      "Keep-Alive: timeout=15",
      `Content-Length: ${body.length}`,
      ...more,
    ];
    return Buffer.concat([Buffer.from(`${head.join("\r\n")}\r\n\r\n`, "latin1"), body]);
  }

  /** Answers, and takes the next request of the connection. */
  answer(request, status, body, more = []) {
    const { connection } = request;
    const bytes = this.format(request, status, body, more);
    this.options.beforeAnswer?.(request, status, connection);
    connection.socket.write(bytes);
    this.options.afterAnswer?.(request, status, bytes, connection);
    this.finish(request);
  }

  finish(request) {
    const { connection } = request;
    connection.request = undefined;
    setImmediate(() => this.#parse(connection));
  }
}

module.exports = { Server };

"use strict";
/**
 * Requests of an `unsafe` route are sent through eight gateways to a service
 * whose servers are just full in bursts. In these, servers garble (how: extra, late): some of their
 * answers come a second time, in the place of the answer that is due next on
 * the connection. The check is TWICE: no request may be run more than once.
 */
const fs = require("node:fs");
const path = require("node:path");
const { Site, request, sleep } = require("../lib/site.cjs");
const { Server } = require("../lib/server.cjs");

const TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["zone-a", "zone-b", "zone-c"];
const GATEWAYS = 8;
/** Servers of the service; each works on 6 requests and queues 4 more. */
const SERVERS = 5;
const SLOTS = 6;
const QUEUE = 4;
/** Clients with one request at a time. In a burst of x 2 they are a few more than the servers have places. */
const CLIENTS = 29;
const BURST = { x: 2, forMs: 5000 };
const SECONDS = 84;
/** The disruption: its share of servers and of answers, its length and the pause between two. */
const GARBLE = { share: 0.6, x: 0.03, forMs: 5000, gapMs: 5000 };
const DEADLINE_MS = 6000;

const lines = [];
const startedAt = Date.now();
const note = (text) => lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`);

/** Events of each request, by its id. */
const events = new Map();
function record(id, text) {
  const known = events.get(id) ?? [];
  known.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`);
  events.set(id, known);
}

async function run(site) {
  await site.prepare();
  const runs = new Map();
  const counts = { sent: 0, refusedByServers: 0, answeredByServers: 0, secondAnswers: 0 };
  let garbleUntil = 0;
  let burstUntil = 0;
  const servers = [];
  for (let index = 0; index < SERVERS; index++) {
    const isGarbling = index < Math.floor(GARBLE.share * SERVERS);
    const id = `i-${index}`;
    servers.push(new Server({
      id, service: "records", zone: ZONES[index % ZONES.length],
      ip: site.serverIp(index), port: site.ports.front, slots: SLOTS, queue: QUEUE,
      workMs: () => 200 + 200 * Math.random(),
      record(event) {
        if (event.kind === "refused") {
          counts.refusedByServers++;
          return record(event.id, `${id} turned it away with ${event.status}, not executed`);
        }
        runs.set(event.id, (runs.get(event.id) ?? 0) + 1);
        record(event.id, `${id} runs it`);
      },
      /** The second answers take the place of the one that is due next. */
      onRequest({ connection }) {
        for (const second of connection.late.splice(0)) {
          counts.secondAnswers++;
          record(second.id, `${id} gives its answer ${second.status} a second time`);
          connection.socket.write(second.bytes);
        }
      },
      afterAnswer(asked, status, bytes, connection) {
        counts.answeredByServers++;
        const isChosen = TROUBLE && isGarbling && Date.now() < garbleUntil && Math.random() < GARBLE.x;
        if (isChosen) connection.late.push({ id: asked.id, status, bytes });
      },
    }));
  }
  for (const server of servers) await server.listen();
  site.setInstances(servers.map((server) => server.entry()), 0);
  await site.boot({
    version: 1,
    routes: [{
      name: "photo-sync", host: "a.example", pathPrefix: "/photo/", kind: "unsafe",
      timeoutMs: DEADLINE_MS, targetLatencyMs: 1200, priority: 2, service: "records", maxAttempts: 2,
    }],
    services: [{ name: "records", healthPath: "/health", maxConnections: 130, protocol: "h1", tls: false }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  });
  await sleep(2500);
  note(`the site runs: ${GATEWAYS} gateways, 3 stores, ${SERVERS} servers`);
  const until = Date.now() + SECONDS * 1000;
  const statuses = {};
  const client = async (gateway, isOfBurst) => {
    while (Date.now() < until) {
      if (isOfBurst && Date.now() > burstUntil) {
        await sleep(20);
        continue;
      }
      const id = `r${(++counts.sent).toString(16).padStart(7, "0")}`;
      record(id, `sent to ${gateway}`);
      const answer = await request({
        host: site.get(gateway).ip, port: site.ports.front, method: "POST", target: "/photo/1",
        headers: { Host: "a.example", "Mallowlift-Request-Id": id, "Mallowlift-Deadline-Ms": String(DEADLINE_MS) },
        body: Buffer.alloc(600, "p"), timeoutMs: DEADLINE_MS + 1000,
      });
      record(id, `the client gets ${answer.status}`);
      statuses[answer.status] = (statuses[answer.status] ?? 0) + 1;
      await sleep(50 * Math.random());
    }
  };
  const disrupt = async () => {
    while (Date.now() < until) {
      burstUntil = Date.now() + BURST.forMs;
      note(`burst: x ${BURST.x} for ${BURST.forMs} ms`);
      garbleUntil = Date.now() + GARBLE.forMs;
      if (TROUBLE) note(`garble: ${GARBLE.share} of the servers, ${GARBLE.x} of their answers, for ${GARBLE.forMs} ms`);
      await sleep(GARBLE.forMs + GARBLE.gapMs);
    }
  };
  const clients = Array.from({ length: BURST.x * CLIENTS }, (_, index) =>
    client(`front-${index % GATEWAYS}`, index >= CLIENTS));
  await Promise.all([...clients, disrupt()]);
  for (const server of servers) server.close();
  const doubled = [...runs].filter(([, count]) => count > 1).map(([id]) => id);
  note(`sent ${counts.sent}; answers to clients by status: ${JSON.stringify(statuses)}`);
  note(`servers turned away ${counts.refusedByServers} times and gave ${counts.answeredByServers} answers, ${counts.secondAnswers} of them a second time`);
  note(`requests run: ${runs.size}; run more than once: ${doubled.length}`);
  for (const id of doubled) lines.push(`${id}:`, ...events.get(id).map((text) => `  ${text}`));
  if (runs.size < 1000) throw new Error("too few requests were run");
  return doubled.length;
}

async function main() {
  const site = new Site({
    gateways: Array.from({ length: GATEWAYS }, (_, index) => ({ name: `front-${index}`, zone: ZONES[index % 3] })),
    stores: ZONES.map((zone, index) => ({ name: `store-${index}`, zone })),
  });
  const giveUp = (reason) => {
    console.error(`the case could not run: ${reason}`);
    void site.stop().finally(() => process.exit(2));
  };
  process.once("SIGTERM", () => giveUp("it took too long"));
  process.once("uncaughtException", (thrown) => giveUp(thrown.message));
  process.once("unhandledRejection", (thrown) => giveUp(String(thrown)));
  let code = 2;
  try {
    code = await run(site) > 0 ? 1 : 0;
  } catch (thrown) {
    note(`the case could not run: ${thrown.message}`);
  }
  await site.stop();
  lines.unshift(`TROUBLE=${TROUBLE ? 1 : 0}, exit ${code}`);
  const summary = lines.filter((line) => !/^r[0-9a-f]+:|^  /.test(line));
  fs.writeFileSync(path.join(__dirname, "record.txt"), `${lines.join("\n")}\n`);
  console.log(summary.join("\n"));
  process.exit(code);
}

void main();

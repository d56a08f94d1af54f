/**
 * Starts gateways and stores as the deploy file does, on loopback addresses,
 * with stand-ins of the platform: its list of servers, its servers, a client
 * and an operator. Nothing here is part of the product.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as httpRequest } from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const isTroubled = process.env.TROUBLE !== "0";

/** Bounds of the small sites, as their settings files give them. */
const BOUNDS = {
  seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 5,
  drainMs: 3000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000,
  rollbackSlackMs: 250, skewMaxMs: 5000, recoveryS: 12, passMs: 120,
};
const ZONES = ["suva-wharf", "lautoka-yard", "nadi-store", "nausori-dock"];

/** Fills a template as DEPLOY.md says, as far as the two templates need it. */
export function fillTemplate(text, fields) {
  const find = (path) =>
    path.split(".").reduce((value, key) => value?.[key], fields);
  const isGiven = (value) => value !== undefined && value !== null && value !== false;
  const sections = text.replace(
    /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (_all, path, inner) => isGiven(find(path)) ? inner : "",
  );
  return sections.replace(/\{\{([\w.]+)\}\}/g, (_all, path) => {
    const value = find(path);
    return isGiven(value) || value === false
      ? Array.isArray(value) ? value.join(",") : String(value)
      : "";
  });
}

/** Reads the command and the template of each role in the deploy file. */
function readDeployFile() {
  const roles = {};
  let role;
  for (const line of readFileSync(join(ROOT, "deploy/system.toml"), "utf8").split("\n")) {
    const head = /^\[roles\.([\w-]+)\]/.exec(line);
    if (head) role = roles[head[1]] = {};
    const pair = /^(run|template) = "(.*)"/.exec(line);
    if (pair && role) role[pair[1]] = pair[2];
  }
  return roles;
}

function canListen(host, port) {
  return new Promise((done) => {
    const server = net.createServer();
    server.once("error", () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** Finds a first port such that a few ports from it on are free on all addresses. */
async function findPorts(hosts, count) {
  for (let tries = 0; tries < 200; tries++) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    let isFree = true;
    for (const host of hosts) {
      for (let port = first; isFree && port < first + count; port++) {
        isFree = await canListen(host, port);
      }
    }
    if (isFree) return first;
  }
  throw new Error("no free ports");
}

/** A model server or a plain server; what it does is set by `serve`. */
export class Server {
  constructor(site, id, service, host, port, slots) {
    Object.assign(this, { site, id, service, host, port, slots, state: "ready", runs: [] });
    this.stamps = 0;
    this.http = createServer((request, response) => void this.#handle(request, response));
    this.http.keepAliveTimeout = 5_000;
  }
  get address() { return `${this.host}:${this.port}`; }
  listen() {
    return new Promise((done) => this.http.listen(this.port, this.host, done));
  }
  async #handle(request, response) {
    const parts = [];
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    try { for await (const part of request) parts.push(part); } catch { return; }
    const body = Buffer.concat(parts);
    const { headers } = request;
    const id = headers["mallowlift-request-id"];
    if (id === undefined) {
      response.setHeader("Mallowlift-Instance-Id", this.id);
      return void response.end("{}");
    }
    const expected = headers["mallowlift-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Mallowlift-Request-Id": id, "Mallowlift-Not-Executed": "1" });
      return void response.end();
    }
    const run = { id, server: this.id, at: Date.now(), method: request.method, url: request.url, headers, body, hasClosed: false, isDone: false };
    response.once("close", () => { run.hasClosed = !response.writableFinished; run.closedAt = Date.now(); });
    this.runs.push(run);
    if (!this.site.isBrief) this.site.record("run", { id, server: this.id, bytes: body.length });
    const head = { "Mallowlift-Request-Id": id, "Mallowlift-Server-Stamp": `${this.id}.${++this.stamps}.${id}` };
    await this.site.serve(run, response, head);
    run.isDone = true;
  }
}

/** Sends events as a model server does: data lines with rising ids. */
export async function sendEvents(run, response, head, events, pauseOf) {
  response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
  for (const [index, data] of events.entries()) {
    await sleep(pauseOf(index));
    if (run.hasClosed) return false;
    response.write(`id: ${index + 1}\ndata: ${data}\n\n`);
  }
  response.end();
  return true;
}

export class Site {
  constructor(caseFolder, { gateways = 3, stores = 3, services }) {
    this.caseFolder = caseFolder;
    this.recordPath = join(caseFolder, "record.txt");
    writeFileSync(this.recordPath, "");
    this.startedAt = Date.now();
    this.folder = mkdtempSync(join(tmpdir(), "mallowlift-review-"));
    this.plan = { gateways, stores, services };
    this.daemons = [];
    this.servers = [];
    this.roles = readDeployFile();
    this.version = 0;
    this.serve = async (_run, response, head) => { response.writeHead(200, head); response.end("ok"); };
  }

  /** Writes one line of the record: seconds, what, details. */
  record(what, details = {}) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    const text = Object.entries(details).map(([key, value]) => `${key}=${value}`).join(" ");
    appendFileSync(this.recordPath, `${seconds} ${what} ${text}\n`);
  }

  async start() {
    const { gateways, stores, services } = this.plan;
    // Own addresses for each site, since the metrics port of the templates is fixed.
    const net3 = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    const hosts = [];
    for (let number = 0; number < gateways + stores; number++) hosts.push(`${net3}.${11 + number}`);
    const serverHost = `${net3}.40`;
    this.serverHost = serverHost;
    const serverCount = services.reduce((sum, service) => sum + service.servers, 0);
    const base = await findPorts([...hosts, serverHost], 12 + serverCount);
    this.base = base;
    let next = base + 11;
    for (const service of services) {
      for (let number = 0; number < service.servers; number++) {
        const server = new Server(this, `i-${service.name}-${number}`, service.name, serverHost, next++, service.slots);
        await server.listen();
        this.servers.push(server);
      }
    }
    this.list = createServer((request, response) => {
      const instances = this.servers.filter((server) => server.state !== "gone").map((server, index) => ({
        id: server.id, service: server.service, address: server.address, zone: ZONES[index % 3],
        version: "v1", slots: server.slots, state: server.state, coldLeftMs: 0,
      }));
      response.setHeader("Content-Type", "application/json");
      response.end(JSON.stringify({ instances, nextToken: null }));
    });
    await new Promise((done) => this.list.listen(base, serverHost, done));
    for (const [number, host] of hosts.entries()) {
      const isGateway = number < gateways;
      this.daemons.push({
        name: isGateway ? `front-${ZONES[number % 3]}-1` : `store-${ZONES[(number - gateways) % 3]}-${Math.floor((number - gateways) / 3) + 1}`,
        role: isGateway ? "gateway" : "store", host, zone: ZONES[number % 3], number,
        front: `${host}:${base + 1}`, ready: `${host}:${base + 2}`, control: `${host}:${base + 3}`,
        dataFolder: join(this.folder, `data-${number}`),
      });
    }
    for (const daemon of this.daemons) this.launch(daemon, true);
  }

  get gateways() { return this.daemons.filter(({ role }) => role === "gateway"); }
  get stores() { return this.daemons.filter(({ role }) => role === "store"); }

  /** Starts a process with the command of the deploy file. */
  launch(daemon, bootstrap = false) {
    const { run, template } = this.roles[daemon.role];
    mkdirSync(daemon.dataFolder, { recursive: true });
    const path = join(this.folder, `${daemon.name}.settings`);
    const fields = {
      nodeName: daemon.name, zone: daemon.zone, ip: daemon.host,
      listen: daemon.role === "gateway" ? { front: daemon.front, ready: daemon.ready, control: daemon.control } : {},
      internalPorts: [this.base + 4, this.base + 8],
      seeds: this.gateways.slice(0, 3).map(({ control }) => control),
      bootstrap, bounds: BOUNDS, faultTolerance: { machines: 1, zones: 0, regions: 0 },
      dataDir: daemon.dataFolder, cloud: { address: `${this.serverHost}:${this.base}` },
    };
    writeFileSync(path, fillTemplate(readFileSync(join(ROOT, template), "utf8"), fields));
    const words = run.replace("/etc/mallowlift/settings.json", path).split(" ");
    const log = join(this.folder, `${daemon.name}.log`);
    const child = spawn(words[0], words.slice(1), { cwd: ROOT, stdio: ["ignore", "pipe", "pipe"] });
    for (const stream of [child.stdout, child.stderr]) stream.on("data", (bytes) => appendFileSync(log, bytes));
    daemon.child = child;
    daemon.ended = new Promise((done) => child.once("exit", (code, signal) => {
      daemon.exit = { code, signal };
      this.record("process ended", { name: daemon.name, code, signal });
      done();
    }));
    this.record("process started", { name: daemon.name, pid: child.pid });
  }

  signal(daemon, signal) {
    this.record("signal", { name: daemon.name, signal });
    daemon.child.kill(signal);
  }

  /** Sends a configuration until it is acknowledged. */
  async configure({ routes, services, limits, tenants }) {
    const body = JSON.stringify({
      version: ++this.version, routes, services, ...(tenants === undefined ? {} : { tenants }),
      limits: limits ?? { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    });
    const until = Date.now() + 20_000;
    for (let tries = 0; Date.now() < until; tries++) {
      const gateway = this.gateways[tries % this.gateways.length];
      const answer = await send({ address: gateway.control, method: "POST", path: "/v1/Config.Replace", headers: { "Content-Type": "application/json" }, body, timeoutMs: 1_000 });
      if (answer.status === 200) return this.record("configuration acknowledged", { version: this.version, by: gateway.name });
      await sleep(100);
    }
    throw new Error("the configuration was not acknowledged");
  }

  async waitUntilReady(limit = 20_000) {
    const until = Date.now() + limit;
    for (const daemon of this.gateways) {
      while ((await send({ address: daemon.ready, method: "GET", path: "/v1/readiness", timeoutMs: 1_000 })).status !== 200) {
        if (Date.now() > until) throw new Error(`${daemon.name} is not ready`);
        await sleep(100);
      }
    }
    this.record("all gateways ready");
  }

  /** Ends all processes that this site started. */
  async stop() {
    for (const daemon of this.daemons) {
      if (daemon.child === undefined || daemon.exit !== undefined) continue;
      daemon.child.kill("SIGCONT");
      daemon.child.kill("SIGKILL");
      await daemon.ended;
    }
    this.list?.closeAllConnections(); this.list?.close();
    for (const server of this.servers) { server.http.closeAllConnections(); server.http.close(); }
    if (process.env.KEEP !== "1") rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Sends one request on a new connection and reads its answer. */
export function send({ address, method = "POST", path, headers = {}, body = "", timeoutMs = 5_000, onData, signal }) {
  const [host, port] = address.split(":");
  return new Promise((done) => {
    const result = { status: 0, headers: {}, body: Buffer.alloc(0), isWhole: false, error: "" };
    const parts = [];
    let isOver = false;
    const finish = (error) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      result.error = error ?? "";
      result.body = Buffer.concat(parts);
      done(result);
    };
    const bytes = Buffer.from(body);
    const outgoing = httpRequest({ host, port, method, path, agent: false, headers: { ...headers, ...(bytes.length > 0 || method === "POST" ? { "Content-Length": bytes.length } : {}) } });
    const timer = setTimeout(() => { outgoing.destroy(); finish("timeout"); }, timeoutMs);
    signal?.addEventListener("abort", () => { outgoing.destroy(); finish("cancelled"); });
    outgoing.on("error", (error) => finish(error.code ?? error.message));
    outgoing.on("response", (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on("data", (part) => { parts.push(part); onData?.(part); });
      response.on("end", () => { result.isWhole = response.complete; finish(); });
      response.on("error", (error) => finish(error.code ?? error.message));
      response.on("close", () => finish("closed early"));
    });
    outgoing.end(bytes);
  });
}

/** Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(site, play) {
  const limit = setTimeout(() => { void end(2, "over the time limit"); }, 112_000);
  let hasEnded = false;
  const end = async (code, why) => {
    if (hasEnded) return;
    hasEnded = true;
    clearTimeout(limit);
    site.record("result", { exit: code, why: JSON.stringify(why) });
    await site.stop().catch(() => undefined);
    console.log(`exit ${code}: ${why}`);
    process.exit(code);
  };
  try {
    const broken = await play();
    await end(broken === "" ? 0 : 1, broken === "" ? "the rule held" : broken);
  } catch (error) {
    await end(2, String(error?.stack ?? error));
  }
}

"use strict";
/**
 * Starts a small deployment: gateways and stores as separate processes, with
 * the commands and the settings templates of the deploy file, each daemon on a
 * loopback address of its own. The platform's list of servers is a stand-in.
 */
const { spawn } = require("node:child_process");
const fs = require("node:fs");
const http = require("node:http");
const net = require("node:net");
const os = require("node:os");
const path = require("node:path");

const ROOT = path.join(__dirname, "..", "..");
const SETTINGS_PATH = "/etc/mallowlift/settings.json";
/** Bounds as the small sites of the pages have them. */
const BOUNDS = {
  seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4.3,
  drainMs: 3000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000,
  rollbackSlackMs: 250, skewMaxMs: 5000, recoveryS: 12, passMs: 120, againS: 0,
  deadlineS: 10, settleMs: 1000,
};

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Fills the gaps of a template that the project's templates use. */
function fill(template, fields) {
  const find = (name) =>
    name.split(".").reduce((value, key) => value?.[key], fields);
  const write = (value) =>
    value === undefined || value === null
      ? ""
      : Array.isArray(value)
      ? value.join(",")
      : String(value);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) =>
      find(name) === undefined || find(name) === false ? "" : inner)
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => write(find(name)));
}

function readRole(name) {
  const text = fs.readFileSync(path.join(ROOT, "deploy", "system.toml"), "utf8");
  const part = text.split(`[roles.${name}]`)[1].split(/^\[/m)[0];
  const pick = (key) => new RegExp(`^${key} = "(.*)"`, "m").exec(part)[1];
  return {
    run: pick("run").split(" "),
    template: fs.readFileSync(path.join(ROOT, pick("template")), "utf8"),
  };
}

/** Returns ports that are free on every address. */
async function findPorts(hosts, count) {
  const ports = [];
  for (let tries = 0; ports.length < count && tries < 500; tries++) {
    const port = 20000 + Math.floor(Math.random() * 12000);
    if (ports.includes(port)) continue;
    const free = await Promise.all(hosts.map((host) => isFree(host, port)));
    if (free.every(Boolean)) ports.push(port);
  }
  if (ports.length < count) throw new Error("no free ports");
  return ports;
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Sends one HTTP request; status 0 if there was no answer. */
function request({ host, port, method = "GET", target, headers = {}, body, timeoutMs = 1000, agent }) {
  return new Promise((resolve) => {
    const options = { host, port, method, path: target, headers, agent };
    const sent = http.request(options, (answer) => {
      const parts = [];
      answer.on("data", (bytes) => parts.push(bytes));
      answer.on("end", () => finish(answer.statusCode, answer.headers, parts, true));
      answer.on("error", () => finish(answer.statusCode, answer.headers, parts, false));
      answer.on("aborted", () => finish(answer.statusCode, answer.headers, parts, false));
    });
    let isDone = false;
    const finish = (status, answerHeaders, parts, whole, error = "") => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve({ status, headers: answerHeaders, body: Buffer.concat(parts), whole, error });
    };
    const timer = setTimeout(() => {
      sent.destroy();
      finish(0, {}, [], false, "timeout");
    }, timeoutMs);
    sent.on("error", (error) => finish(0, {}, [], false, error.code ?? error.message));
    sent.end(body);
  });
}

class Site {
  /**
   * @param plan gateways and stores: arrays of { name, zone }
   */
  constructor(plan) {
    this.plan = plan;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    this.daemons = new Map();
    this.instances = [];
    this.isStopped = false;
  }

  async prepare() {
    const block = 1 + Math.floor(Math.random() * 250);
    let number = 10;
    this.add = (role, { name, zone }) => {
      const ip = `127.77.${block}.${number++}`;
      const dataDir = path.join(this.folder, `${name}-data`);
      this.daemons.set(name, { name, zone, role, ip, dataDir, process: undefined });
    };
    (this.plan.gateways ?? []).forEach((daemon) => this.add("gateway", daemon));
    (this.plan.stores ?? []).forEach((daemon) => this.add("store", daemon));
    this.platformIp = `127.77.${block}.9`;
    this.serverIp = (index) => `127.77.${block}.${100 + index}`;
    const servers = Array.from({ length: 20 }, (_, index) => this.serverIp(index));
    const hosts = [this.platformIp, ...servers, ...[...this.daemons.values()].map(({ ip }) => ip)];
    const [internal, front, ready, control, list, metrics] = await findPorts(hosts, 6);
    this.ports = { internal, front, ready, control, list, metrics };
    this.seeds = this.list("gateway").slice(0, 3).map(({ ip }) => `${ip}:${control}`);
    await this.#startPlatform();
  }

  list(role) {
    return [...this.daemons.values()].filter((daemon) => daemon.role === role);
  }

  get(name) {
    return this.daemons.get(name);
  }

  /** Serves the platform's list of servers; it runs `lagMs` behind. */
  async #startPlatform() {
    const lagMs = this.plan.listLagMs ?? 800;
    this.listings = [{ at: 0, instances: [] }];
    this.platform = http.createServer((asked, answer) => {
      const until = Date.now() - lagMs;
      const shown = this.listings.filter(({ at }) => at <= until).at(-1);
      answer.setHeader("Content-Type", "application/json");
      answer.end(JSON.stringify({ instances: shown.instances, nextToken: null }));
    });
    await new Promise((resolve) =>
      this.platform.listen(this.ports.list, this.platformIp, resolve));
  }

  /** Puts entries in the platform's list. */
  setInstances(instances, at = Date.now()) {
    this.listings.push({ at, instances });
  }

  /** Starts a daemon with the command of the deploy file. */
  start(name, bootstrap = false) {
    const daemon = this.get(name);
    const { ip, zone, role, dataDir } = daemon;
    const { run, template } = readRole(role);
    const { ports } = this;
    const fields = {
      nodeName: name, zone, ip, dataDir, bootstrap,
      listen: { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}` },
      internalPorts: [ports.internal, ports.internal + 15],
      seeds: this.seeds,
      bounds: { ...BOUNDS, ...this.plan.bounds },
      faultTolerance: { machines: 1, zones: 0, regions: 0 },
      cloud: { address: `${this.platformIp}:${ports.list}` },
    };
    // The metrics port of the template is fixed; a free one is as good here.
    const text = fill(template, fields).replaceAll(":21464", `:${ports.metrics}`);
    const settings = path.join(this.folder, `${name}.ini`);
    fs.writeFileSync(settings, text);
    const [command, ...words] = run.map((word) => word === SETTINGS_PATH ? settings : word);
    const log = fs.openSync(path.join(this.folder, `${name}.log`), "a");
    const child = spawn(command === "node" ? process.execPath : command, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    daemon.process = child;
    daemon.ended = new Promise((resolve) => child.once("exit", (code, signal) => {
      if (daemon.process === child) daemon.process = undefined;
      resolve({ code, signal });
    }));
  }

  signal(name, signal) {
    this.get(name).process?.kill(signal);
  }

  /** Kills a daemon; with `wipe`, its disk is lost too. */
  async kill(name, { wipe = false } = {}) {
    const daemon = this.get(name);
    if (daemon.process !== undefined) {
      daemon.process.kill("SIGKILL");
      await daemon.ended;
    }
    if (wipe) fs.rmSync(daemon.dataDir, { recursive: true, force: true });
  }

  /** Calls the operator's API of a gateway. */
  operate(name, method, target, body, timeoutMs = 1000) {
    return request({
      host: this.get(name).ip, port: this.ports.control, method, target, timeoutMs,
      headers: body === undefined ? {} : { "Content-Type": "application/json" },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
  }

  /** Sends a configuration as an operator does, until it is acknowledged. */
  async configure(configuration, limitMs = 20000) {
    const until = Date.now() + limitMs;
    const gateways = this.list("gateway");
    for (let tries = 0; Date.now() < until; tries++) {
      const { name } = gateways[tries % gateways.length];
      const { status } = await this.operate(name, "POST", "/v1/Config.Replace", configuration);
      if (status === 200) return;
      if (status >= 400 && status < 500 && status !== 408 && status !== 429) {
        throw new Error(`configuration refused with ${status}`);
      }
      await sleep(200);
    }
    throw new Error("configuration not acknowledged");
  }

  async isReady(name) {
    const { ip } = this.get(name);
    const { status } = await request({ host: ip, port: this.ports.ready, target: "/v1/readiness" });
    return status === 200;
  }

  async waitUntilReady(names, limitMs = 20000) {
    const until = Date.now() + limitMs;
    for (const name of names) {
      while (!await this.isReady(name)) {
        if (Date.now() > until) throw new Error(`${name} is not ready`);
        await sleep(100);
      }
    }
  }

  /** Starts the whole site, with empty disks, and puts a configuration in force. */
  async boot(configuration) {
    for (const { name } of this.daemons.values()) this.start(name, true);
    await this.configure(configuration);
    await this.waitUntilReady(this.list("gateway").map(({ name }) => name));
  }

  readLog(name) {
    return fs.readFileSync(path.join(this.folder, `${name}.log`), "utf8");
  }

  async stop() {
    this.isStopped = true;
    for (const { name } of this.daemons.values()) await this.kill(name);
    this.platform?.close();
    this.platform?.closeAllConnections();
    if (process.env.KEEP !== "1") fs.rmSync(this.folder, { recursive: true, force: true });
    else console.error(this.folder);
  }
}

module.exports = { Site, request, sleep, findPorts, BOUNDS };

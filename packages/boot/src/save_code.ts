/**
 * Build step: saves the code cache of the bundled daemon. The daemon is run for
 * a moment first, as a site of one gateway and one store, because the cache
 * contains only functions that have been compiled, and V8 compiles a function
 * when it is first called.
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { DaemonMain } from "./boot_daemon.ts";
import { loadScript } from "./load_script.ts";

/** Time in which the daemon starts and founds its site, ms. */
const RUN_MILLISECONDS = 2_000;
const PORTS = 5;

async function main(): Promise<void> {
  const script = loadScript(join(__dirname, "daemon.js"));
  // Used if the run fails, for example where no port can be opened.
  script.saveCodeCache();
  const folder = mkdtempSync(join(tmpdir(), "mallowlift-code-"));
  process.on("exit", () => rmSync(folder, { recursive: true, force: true }));
  const path = join(folder, "settings.ini");
  writeFileSync(path, formatSettings(folder, await findFreePorts()));
  process.argv.splice(2, Infinity, "--settings", path);
  (script.exports as { readonly main: DaemonMain }).main({
    heldPort: undefined,
    stopRequested: new Promise<number>(() => undefined),
  });
  setTimeout(() => {
    script.saveCodeCache();
    process.exit();
  }, RUN_MILLISECONDS);
}

function formatSettings(folder: string, ports: readonly number[]): string {
  const [listen, health, metrics, callers, operators] = ports.map((port) =>
    `127.0.0.1:${port}`
  );
  return `[daemon]
name = build
roles = gateway, store
failure_domain = build
log_level = error
health_listen = ${health}
metrics_listen = ${metrics}
[network]
listen = ${listen}
shared_key = build
seeds = ${listen}
[gateway]
callers_listen = ${callers}
operators_listen = ${operators}
[store]
data_folder = ${join(folder, "data")}
first_start = yes
tolerance = 0
list_address = ${join(folder, "instances.json")}
`;
}

/** Returns port numbers that were free a moment ago. */
async function findFreePorts(): Promise<readonly number[]> {
  const servers = Array.from({ length: PORTS }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, "127.0.0.1", resolve);
    });
    const address = server.address();
    if (address !== null && typeof address === "object") {
      ports.push(address.port);
    }
  }
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

void main();

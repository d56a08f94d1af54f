/** `npm start`: starts the example site, runs one program and serves until Ctrl-C. */

import { mkdirSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";
import { createDeferred } from "@mallowlift/core";
import { Command } from "commander";
import { type FakesProcess, startFakes } from "./fakes_process.ts";
import { runFirnwatchProgram } from "./firnwatch_program.ts";
import { choosePort } from "./free_ports.ts";
import { killPreviousRun, recordPids } from "./previous_run.ts";
import { OUTFIT_TOKENS, seedResources } from "./seed_resources.ts";
import { Site } from "./site.ts";
import { SiteClient } from "./site_client.ts";

const ENGINES = 3;
const SERVICES = 2;
const FIRST_HTTP_PORT = 8080;
const SECOND_HTTP_PORT = 8081;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function main(): Promise<void> {
  const options = new Command("npm start --")
    .option("--once", "exit after the example program")
    .option("--folder <folder>", "folder for settings, logs and data", ".site")
    .parse()
    .opts<{ once?: boolean; folder: string }>();
  const folder = resolve(options.folder);
  mkdirSync(join(folder, "logs"), { recursive: true });
  const killed = killPreviousRun(folder);
  if (killed > 0) print(`Killed ${killed} processes of an earlier run`);
  const stopped = createDeferred<void>();
  process.once("SIGINT", () => stopped.resolve(undefined));
  process.once("SIGTERM", () => stopped.resolve(undefined));
  const { site, fakes } = await startSite(folder);
  try {
    await serve(site, {
      once: options.once === true,
      stopped: stopped.promise,
    });
  } finally {
    print("Draining");
    await site.stop();
    await fakes.process.stop();
    print("Stopped");
  }
}

async function startSite(
  folder: string,
): Promise<{ site: Site; fakes: FakesProcess }> {
  const fakes = await startFakes({
    name: "fakes",
    logFolder: join(folder, "logs"),
    engines: ENGINES,
    services: SERVICES,
    engine: {},
  });
  const httpPorts = [
    await choosePort(FIRST_HTTP_PORT),
    await choosePort(SECOND_HTTP_PORT),
  ];
  const site = new Site({
    folder,
    engines: ENGINES,
    services: SERVICES,
    httpPorts,
  });
  await site.start(fakes);
  const pids = site.daemons.map((daemon) => daemon.process.pid ?? 0);
  recordPids(folder, [...pids, fakes.process.pid ?? 0]);
  return { site, fakes };
}

async function serve(
  site: Site,
  options: { readonly once: boolean; readonly stopped: Promise<void> },
): Promise<void> {
  const url = site.entryUrls[0] ?? "";
  const client = new SiteClient(url, OUTFIT_TOKENS.NORTH);
  print(
    `Site starting: ${site.daemons.length} daemons, entries at ${
      site.entryUrls.join(" and ")
    }`,
  );
  await seedResources(client, { engines: ENGINES, services: SERVICES });
  await site.waitUntilHealthy();
  const report = await runFirnwatchProgram(client, `example-${Date.now()}`);
  for (const line of report.lines) print(`  ${line}`);
  print(
    `Program ${report.program} took ${
      Math.round(report.latencyMilliseconds)
    } ms`,
  );
  client.close();
  if (options.once) return;
  print("Serving; Ctrl-C drains and stops. Try:");
  print(
    `  curl -s ${url}/v1/programs -H 'authorization: Bearer ${OUTFIT_TOKENS.NORTH}' \\`,
  );
  print(`    -H 'content-type: application/json' -d '{"request_id":"first"}'`);
  await options.stopped;
}

if (require.main === module) {
  main().then(
    () => process.exit(0),
    (thrown) => {
      process.stderr.write(
        `${thrown instanceof Error ? thrown.message : String(thrown)}\n`,
      );
      process.exit(1);
    },
  );
}

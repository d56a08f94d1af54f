/**
 * `npm run bench:cost`: measures the processor time that the daemons of a site
 * of gateways and stores use to start, while idle, and to serve turns.
 */

import { mkdirSync, rmSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";
import { createNumberParser } from "@mallowlift/cli";
import { hashText, sleep, type Workspace } from "@mallowlift/core";
import { OpaqueUpstream } from "@mallowlift/mocks";
import { Command } from "commander";
import { readOptionsWithoutHeap } from "../gateways/deployed_options.ts";
import { GatewaySite } from "../gateways/gateway_site.ts";
import { TEST_DOCUMENT } from "../gateways/test_document.ts";
import { recordResults } from "../measure/record_results.ts";
import { CostMeter, type CostRow } from "./cost_meter.ts";
import { sendTurns, type TurnLoad } from "./turn_load.ts";

/** Time for startup work after the site is ready, ms; it is not counted as idle. */
const SETTLE_MILLISECONDS = 5_000;
const MAX_DAEMONS = 200;

interface CostOptions extends TurnLoad {
  readonly gateways: number;
  readonly stores: number;
  readonly tolerance: number;
  /** True if callers send the key of a workspace with a quota. */
  readonly workspaces: boolean;
  readonly nodeOptions: string;
}

const KEY = "cost-key";
/** A workspace with a quota that is counted but never reached. */
const WORKSPACE: Workspace = {
  name: "cost",
  keyDigests: [hashText(KEY)],
  ratePerSecond: 1_000_000,
  burst: 0,
};

function readOptions(): CostOptions {
  const daemons = createNumberParser({ minimum: 1, maximum: MAX_DAEMONS });
  return new Command("npm run bench:cost --")
    .option("--gateways <number>", "gateways of the site", daemons, 10)
    .option("--stores <number>", "stores of the site", daemons, 5)
    .option(
      "--tolerance <number>",
      "stores that may be lost at once",
      createNumberParser({ minimum: 0, maximum: 7 }),
      2,
    )
    .option(
      "--per-second <number>",
      "turns a second",
      createNumberParser({ minimum: 1, maximum: 2_000 }),
      100,
    )
    .option(
      "--seconds <number>",
      "length of the idle and of the busy part",
      createNumberParser({ minimum: 1, maximum: 3_600 }),
      15,
    )
    .option("--workspaces", "callers bear keys and have a quota", false)
    .option("--tools", "plain calls in place of turns", false)
    .option(
      "--node-options <text>",
      "options of Node.js for all daemons",
      readOptionsWithoutHeap("gateway").join(" "),
    )
    .parse()
    .opts<CostOptions>();
}

async function main(): Promise<void> {
  const options = readOptions();
  const folder = resolve(".site", "bench-cost");
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const upstreams = [new OpaqueUpstream("u-1"), new OpaqueUpstream("u-2")];
  for (const upstream of upstreams) await upstream.start();
  const site = await GatewaySite.start({
    folder: join(folder, "site"),
    gateways: options.gateways,
    stores: options.stores,
    tolerance: options.tolerance,
    upstreams,
    directoryMilliseconds: 2_000,
    listMilliseconds: 500,
    nodeOptions: options.nodeOptions.split(" ").filter((each) => each !== ""),
  }, {
    ...TEST_DOCUMENT,
    workspaces: options.workspaces ? [WORKSPACE] : [],
  });
  try {
    const rows = await measure(site, options);
    for (const row of rows) process.stdout.write(`${describeRow(row)}\n`);
    const path = recordResults("bench-cost", { options, rows });
    process.stdout.write(`Results: ${path}\n`);
  } finally {
    await stopAll(site);
    for (const upstream of upstreams) upstream.stop();
  }
}

async function measure(
  site: GatewaySite,
  options: CostOptions,
): Promise<readonly CostRow[]> {
  const meter = new CostMeter(site);
  const started = meter.measureStep("start", 1);
  await sleep(SETTLE_MILLISECONDS);
  meter.measureStep("settling", SETTLE_MILLISECONDS / 1_000);
  await sleep(options.seconds * 1_000);
  const idle = meter.measureStep("idle second", options.seconds);
  const key = options.workspaces ? KEY : undefined;
  const served = await sendTurns(site, { ...options, key });
  const unit = options.tools === true ? "plain call" : "turn";
  const busy = meter.measureStep(unit, Math.max(1, served));
  process.stdout.write(
    `${served} ${unit}s served of ${options.seconds * options.perSecond}\n`,
  );
  return [...started, ...idle, ...busy];
}

function describeRow(row: CostRow): string {
  const { per, role, daemons, mean, most, peakMebibytes } = row;
  return `${role} (${daemons}), per ${per}: ${mean.toFixed(2)} ms in the ` +
    `mean of a daemon, ${most.toFixed(2)} at most; ` +
    `${peakMebibytes.toFixed(0)} MiB`;
}

/** Stops every daemon gracefully, so that it writes its profile if one is requested. */
async function stopAll(site: GatewaySite): Promise<void> {
  await Promise.all(site.daemons.map((daemon) => daemon.process.stop()));
  await site.stop();
}

main().catch((thrown) => {
  process.stderr.write(`${String(thrown)}\n`);
  process.exitCode = 1;
});

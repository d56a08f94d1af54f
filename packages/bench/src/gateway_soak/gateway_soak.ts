/**
 * `npm run soak:gateways -- --seed N --seconds S`: runs a gateway soak for each
 * seed and prints which promises were broken.
 */

import { resolve } from "node:path";
import process from "node:process";
import { createNumberParser } from "@mallowlift/cli";
import { Command } from "commander";
import { type GatewaySoakResult, runGatewaySoak } from "./run_gateway_soak.ts";
import { runStopSoak } from "./run_stop_soak.ts";
import { DEFAULT_SIZE } from "./soak_site.ts";

const MAX_SEED = 2 ** 21;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Options of the command line. */
interface SoakOptions {
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly callers: number;
  readonly uploaders: number;
  readonly gateways: number;
  readonly stores: number;
  /** True for a soak of planned stops. */
  readonly stops: boolean;
}

async function main(): Promise<boolean> {
  const numberOption = (least: number, most: number) =>
    createNumberParser({ minimum: least, maximum: most });
  const options = new Command("npm run soak:gateways --")
    .option("--seed <number>", "first seed", numberOption(0, MAX_SEED), 1)
    .option("--seeds <number>", "how many seeds", numberOption(1, 10_000), 1)
    .option("--seconds <number>", "time a seed", numberOption(1, 86_400), 20)
    .option("--callers <number>", "callers at once", numberOption(1, 1_000), 12)
    .option(
      "--gateways <number>",
      "gateways",
      numberOption(1, 100),
      DEFAULT_SIZE.gateways,
    )
    .option(
      "--stores <number>",
      "stores",
      numberOption(3, 100),
      DEFAULT_SIZE.stores,
    )
    .option(
      "--uploaders <number>",
      "callers with large bodies at once, of planned stops",
      numberOption(0, 1_000),
      45,
    )
    .option("--stops", "planned stops under kept connections", false)
    .parse()
    .opts<SoakOptions>();
  let allHeld = true;
  for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
    allHeld = await runSeed(seed, options) && allHeld;
  }
  return allHeld;
}

async function runSoak(
  seed: number,
  options: SoakOptions,
): Promise<GatewaySoakResult> {
  const { seconds, callers, uploaders, gateways, stores, stops } = options;
  const size = { ...DEFAULT_SIZE, gateways, stores };
  const folder = resolve(".site", `gateway-soak-${seed}`);
  const plan = { seed, seconds, callers, size, folder };
  return stops
    ? await runStopSoak({ ...plan, uploaders })
    : await runGatewaySoak({ ...plan, print: () => undefined });
}

async function runSeed(seed: number, options: SoakOptions): Promise<boolean> {
  const result = await runSoak(seed, options);
  const faultCounts = [...result.counts].filter(([name]) =>
    name.startsWith("fault: ")
  );
  const faultCount = faultCounts.reduce((sum, [, count]) => sum + count, 0);
  print(
    `Seed ${seed}: ${result.calls} calls, ${faultCount} faults, ` +
      `${result.broken.length} promises broken`,
  );
  for (const [name, count] of [...result.counts].sort()) {
    print(`  ${count} ${name}`);
  }
  for (const { promise, details } of result.broken) {
    print(`  BROKEN ${promise}: ${details}`);
  }
  return result.broken.length === 0;
}

if (require.main === module) {
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    // The child processes of the site exit together with this process.
    process.once(signal, () => process.exit(1));
  }
  main().then((held) => process.exit(held ? 0 : 1), (thrown) => {
    process.stderr.write(
      `${thrown instanceof Error ? thrown.stack : String(thrown)}\n`,
    );
    process.exit(1);
  });
}

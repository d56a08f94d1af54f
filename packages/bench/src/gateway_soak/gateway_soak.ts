/**
 * `npm run soak:gateways -- --seed N --seconds S`: runs a gateway soak for each
 * seed and prints which promises were broken.
 */

import { resolve } from "node:path";
import process from "node:process";
import { createNumberParser } from "@mallowlift/cli";
import { Command } from "commander";
import { runGatewaySoak } from "./run_gateway_soak.ts";
import { DEFAULT_SIZE } from "./soak_site.ts";

const MAX_SEED = 2 ** 21;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
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
    .parse()
    .opts<
      Record<
        "seed" | "seeds" | "seconds" | "callers" | "gateways" | "stores",
        number
      >
    >();
  let allHeld = true;
  for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
    allHeld = await runSeed(seed, options) && allHeld;
  }
  return allHeld;
}

async function runSeed(
  seed: number,
  options: {
    readonly seconds: number;
    readonly callers: number;
    readonly gateways: number;
    readonly stores: number;
  },
): Promise<boolean> {
  const { gateways, stores } = options;
  const result = await runGatewaySoak({
    seed,
    seconds: options.seconds,
    callers: options.callers,
    size: { ...DEFAULT_SIZE, gateways, stores },
    folder: resolve(".site", `gateway-soak-${seed}`),
    print: () => undefined,
  });
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

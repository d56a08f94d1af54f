/** `npm run soak -- --seed N --seconds S`: runs a soak and prints which promises held. */

import { resolve } from "node:path";
import process from "node:process";
import { Command } from "commander";
import { createNumberParser } from "@mallowlift/cli";
import { recordResults } from "../measure/record_results.ts";
import { runSoak, type SoakResult } from "./run_soak.ts";

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function main(): Promise<boolean> {
  const options = new Command("npm run soak --")
    .option(
      "--seed <number>",
      "seed of the faults and of the callers",
      createNumberParser({ minimum: 0, maximum: 2 ** 31 - 1 }),
      1,
    )
    .option(
      "--seconds <number>",
      "how long to inject faults",
      createNumberParser({ minimum: 1, maximum: 86_400 }),
      60,
    )
    .option(
      "--workers <number>",
      "callers at once",
      createNumberParser({ minimum: 1, maximum: 1_000 }),
      16,
    )
    .parse()
    .opts<{ seed: number; seconds: number; workers: number }>();
  const { seed } = options;
  const result = await runSoak({
    seed,
    seconds: options.seconds,
    workers: options.workers,
    folder: resolve(".site", `soak-${seed}`),
    print,
  });
  return reportResult(seed, result);
}

function reportResult(seed: number, result: SoakResult): boolean {
  const { records, verdicts } = result;
  const counts = Object.fromEntries([...records.counts].sort());
  for (const [name, count] of Object.entries(counts)) {
    print(`  ${count} ${name}`);
  }
  for (const { invariant, details } of records.violations.slice(0, 20)) {
    print(`  VIOLATION ${invariant}: ${details}`);
  }
  for (const { invariant, violations } of verdicts) {
    print(
      `${
        violations === 0 ? "held" : "BROKEN"
      }: ${invariant} (${violations} violations)`,
    );
  }
  const calls = records.callCount;
  print(`Seed ${seed}: ${records.programs.length} programs, ${calls} calls`);
  recordResults(`soak-${seed}`, {
    seed,
    calls,
    counts,
    verdicts,
    violations: records.violations,
  });
  return records.violations.length === 0;
}

if (require.main === module) {
  main().then((held) => process.exit(held ? 0 : 1), (thrown) => {
    process.stderr.write(
      `${thrown instanceof Error ? thrown.stack : String(thrown)}\n`,
    );
    process.exit(1);
  });
}

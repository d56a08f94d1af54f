/** `npm run soak -- --seed N --seconds S`. */

import { resolve } from "node:path";
import process from "node:process";
import { Command } from "commander";
import { recordResults } from "../measure/record_results.ts";
import { runSoak, type SoakResult } from "./run_soak.ts";

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function main(): Promise<boolean> {
  const options = new Command("npm run soak --")
    .option("--seed <number>", "seed of the faults and of the callers", "1")
    .option("--seconds <number>", "how long to inject faults", "60")
    .option("--workers <number>", "callers at once", "16")
    .parse()
    .opts<{ seed: string; seconds: string; workers: string }>();
  const seed = Number(options.seed);
  const result = await runSoak({
    seed,
    seconds: Number(options.seconds),
    workers: Number(options.workers),
    folder: resolve(".site", `soak-${seed}`),
    print,
  });
  return report(seed, result);
}

function report(seed: number, result: SoakResult): boolean {
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

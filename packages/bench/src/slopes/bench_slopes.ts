/** `npm run bench:slopes`: measures the samples behind the slopes in docs/CAPACITY.md. */

import { mkdirSync, writeFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import process from "node:process";
import { measureDimensions } from "./dimensions.ts";

/** Path of the recorded samples. */
export const SLOPES_PATH = resolve("docs", "results", "slopes.json");

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function main(): Promise<void> {
  const dimensions = await measureDimensions(print);
  mkdirSync(dirname(SLOPES_PATH), { recursive: true });
  const text = JSON.stringify({ dimensions }, roundNumber, 2);
  writeFileSync(SLOPES_PATH, `${text}\n`);
  print(`Recorded in ${SLOPES_PATH}; npm run capacity writes the page`);
}

function roundNumber(_key: string, value: unknown): unknown {
  return typeof value === "number" ? Math.round(value * 1_000) / 1_000 : value;
}

if (require.main === module) {
  main().then(() => process.exit(0), (thrown) => {
    process.stderr.write(
      `${thrown instanceof Error ? thrown.stack : String(thrown)}\n`,
    );
    process.exit(1);
  });
}

/** Writes the results of a benchmark as JSON. */

import { mkdirSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";

/** Writes results to `.results/NAME.json` and returns the path. */
export function recordResults(name: string, results: object): string {
  const folder = resolve(".results");
  mkdirSync(folder, { recursive: true });
  const path = join(folder, `${name}.json`);
  writeFileSync(path, `${JSON.stringify(results, undefined, 2)}\n`);
  return path;
}

/**
 * Preloaded into stores, keeps the one with the smallest name from starting for some
 * seconds at the first start of the site, like an instance that is frozen.
 */

import { readFileSync } from "node:fs";
import process from "node:process";

const LATE_MILLISECONDS = 4_000;

const path = process.argv.at(-1) ?? "";
const settings = readFileSync(path, "utf8");
const isFirst = /store-1\.ini$/.test(path) &&
  /first_start *= *yes/.test(settings);
if (isFirst) {
  const cell = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(cell, 0, 0, LATE_MILLISECONDS);
}

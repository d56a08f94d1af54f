/** Loads a bundled script with the code that an earlier run has compiled. */

import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname } from "node:path";
import process from "node:process";
import { Script } from "node:vm";

/** A script that was run, and what it exports. */
export interface LoadedScript {
  readonly exports: unknown;
  /** True if its code came from the cache. */
  readonly isCached: boolean;
  /** Writes the compiled code for later runs with the same options of Node. */
  saveCode(): void;
}

/**
 * Runs a CommonJS script. Compiling takes a good part of the start of a large
 * bundle; code from the cache beside the script needs none.
 *
 * @example
 * ```ts
 * const { exports } = loadScript("/opt/mallowlift/daemon.js");
 * ```
 */
export function loadScript(path: string): LoadedScript {
  const cachePath = findCachePath(path);
  const cachedData = existsSync(cachePath)
    ? readFileSync(cachePath)
    : undefined;
  const script = new Script(Module.wrap(readFileSync(path, "utf8")), {
    filename: path,
    cachedData,
  });
  const module = { exports: {} };
  const run = script.runInThisContext() as (...parts: unknown[]) => void;
  run(module.exports, createRequire(path), module, path, dirname(path));
  return {
    exports: module.exports,
    isCached: cachedData !== undefined && script.cachedDataRejected === false,
    saveCode: () => writeFileSync(cachePath, script.createCachedData()),
  };
}

/** Code is only taken by a Node that runs with the options it was made with. */
function findCachePath(path: string): string {
  const options = process.execArgv.join(" ");
  const name = createHash("md5").update(options).digest("hex").slice(0, 12);
  return `${path}.${name}.code`;
}

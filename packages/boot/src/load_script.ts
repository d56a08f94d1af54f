/** Loads a bundled script with the code cache of an earlier run. */

import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname } from "node:path";
import process from "node:process";
import { Script } from "node:vm";

/** A script that has run, and its exports. */
export interface LoadedScript {
  readonly exports: unknown;
  /** True if the compiled code came from the cache. */
  readonly isCached: boolean;
  /** Saves the compiled code for later runs with the same Node.js options. */
  saveCodeCache(): void;
}

/**
 * Runs a CommonJS script. Compilation is a large part of the start time of a
 * large bundle; the code cache beside the script avoids it.
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
    saveCodeCache: () => writeFileSync(cachePath, script.createCachedData()),
  };
}

/** Returns the path of the code cache. Node.js accepts a cache only with the options that created it. */
function findCachePath(path: string): string {
  const options = process.execArgv.join(" ");
  const name = createHash("md5").update(options).digest("hex").slice(0, 12);
  return `${path}.${name}.code`;
}

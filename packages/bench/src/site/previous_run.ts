/** Kills processes that an earlier run of the example site left running. */

import { existsSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

/** Writes the process ids of this run to a file in the folder. */
export function recordPids(folder: string, pids: readonly number[]): void {
  writeFileSync(join(folder, "pids.json"), JSON.stringify(pids));
}

/**
 * Kills the recorded processes of an earlier run that are still running: daemons
 * with settings in this folder, and fakes. Returns how many it killed.
 */
export function killPreviousRun(folder: string): number {
  const path = join(folder, "pids.json");
  if (!existsSync(path)) return 0;
  let killed = 0;
  for (const pid of readPids(path)) {
    if (!isSiteProcess(pid, folder)) continue;
    process.kill(pid, "SIGKILL");
    killed++;
  }
  rmSync(path);
  return killed;
}

function readPids(path: string): readonly number[] {
  try {
    const pids: unknown = JSON.parse(readFileSync(path, "utf8"));
    return Array.isArray(pids) ? pids.filter(Number.isSafeInteger) : [];
  } catch {
    return [];
  }
}

/**
 * Returns true if the command line is that of a daemon with settings in this
 * folder or of fakes. The system may have given the id to an unrelated program.
 */
function isSiteProcess(pid: number, folder: string): boolean {
  try {
    const commandArguments = readFileSync(`/proc/${pid}/cmdline`, "utf8").split(
      "\0",
    );
    const isDaemon = commandArguments.some((argument) =>
      argument.startsWith(`${folder}/settings/`)
    );
    const isFakes = commandArguments.some((argument) =>
      argument.endsWith("/site/run_fakes.js")
    );
    return isDaemon || isFakes;
  } catch {
    return false;
  }
}

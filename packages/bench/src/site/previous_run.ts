/** Ends what an earlier run of the example site left behind, and nothing else. */

import { existsSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

/** Notes the ids of this run's processes. */
export function notePids(folder: string, pids: readonly number[]): void {
  writeFileSync(join(folder, "pids.json"), JSON.stringify(pids));
}

/** Ends processes of an earlier run that still run with settings of this folder. */
export function endPreviousRun(folder: string): number {
  const path = join(folder, "pids.json");
  if (!existsSync(path)) return 0;
  let ended = 0;
  for (const pid of readPids(path)) {
    if (!isOurs(pid, folder)) continue;
    process.kill(pid, "SIGKILL");
    ended++;
  }
  rmSync(path);
  return ended;
}

function readPids(path: string): readonly number[] {
  try {
    const pids: unknown = JSON.parse(readFileSync(path, "utf8"));
    return Array.isArray(pids) ? pids.filter(Number.isSafeInteger) : [];
  } catch {
    return [];
  }
}

/** The id may belong to another program by now, so its command line decides. */
function isOurs(pid: number, folder: string): boolean {
  try {
    const words = readFileSync(`/proc/${pid}/cmdline`, "utf8").split("\0");
    const isDaemon = words.some((word) =>
      word.startsWith(`${folder}/settings/`)
    );
    const isFakes = words.some((word) => word.endsWith("/site/run_fakes.js"));
    return isDaemon || isFakes;
  } catch {
    return false;
  }
}

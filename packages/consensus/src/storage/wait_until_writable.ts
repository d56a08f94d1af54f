/** Waits until a disk takes bytes, before a replica counts on it. */

import { Buffer } from "node:buffer";
import { open, unlink } from "node:fs/promises";
import { join } from "node:path";
import { sleep } from "@mallowlift/core";

/** Bytes of a try: some blocks, so that a full disk shows. */
const TRY_BYTES = 65_536;
/** Pause between two tries, ms: short against the time that a disk stays full. */
const PAUSE_MILLISECONDS = 250;

/** How to try, and what to tell. */
export interface WritableOptions {
  /** Writes and syncs some bytes; throws if the disk does not take them. */
  readonly tryWrite?: (folder: string) => Promise<void>;
  /** Called once, with the reason, if the disk takes nothing at first. */
  readonly onRefused: (reason: string) => void;
  readonly signal: AbortSignal;
}

/**
 * Resolves once the folder takes a synced write. A replica that starts on a
 * full disk would otherwise end by its first write, again and again.
 */
export async function waitUntilWritable(
  folder: string,
  options: WritableOptions,
): Promise<void> {
  const { tryWrite = writeAndSync, onRefused, signal } = options;
  let isTold = false;
  while (!signal.aborted) {
    try {
      return await tryWrite(folder);
    } catch (thrown) {
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      if (!isTold) onRefused(reason);
      isTold = true;
    }
    await sleep(PAUSE_MILLISECONDS, signal);
  }
}

async function writeAndSync(folder: string): Promise<void> {
  const path = join(folder, "try-write");
  const handle = await open(path, "w");
  try {
    await handle.writeFile(Buffer.alloc(TRY_BYTES));
    await handle.sync();
  } finally {
    await handle.close();
    await unlink(path);
  }
}

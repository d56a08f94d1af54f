/** Waits until the disk accepts writes before a replica starts to use it. */

import { Buffer } from "node:buffer";
import { open, unlink } from "node:fs/promises";
import { join } from "node:path";
import { sleep } from "@mallowlift/core";

/** Size of a probe write, bytes: several blocks, so that it fails on a full disk. */
const PROBE_BYTES = 65_536;
/** Pause between two probe writes, ms; short compared with how long a disk stays full. */
const RETRY_INTERVAL_MILLISECONDS = 250;

/** Options of {@linkcode waitUntilWritable}. */
export interface WritableOptions {
  /** Writes and syncs some bytes; throws if the disk does not accept them. */
  readonly tryWrite?: (folder: string) => Promise<void>;
  /** Called once, with the reason, when the first write fails. */
  readonly onWriteFailure: (reason: string) => void;
  readonly signal: AbortSignal;
}

/**
 * Resolves once a synced write to the folder succeeds, or when the signal is
 * aborted. Without this wait, a replica that starts on a full disk would fail at
 * its first write after every restart.
 */
export async function waitUntilWritable(
  folder: string,
  options: WritableOptions,
): Promise<void> {
  const { tryWrite = writeAndSync, onWriteFailure, signal } = options;
  let isReported = false;
  while (!signal.aborted) {
    try {
      return await tryWrite(folder);
    } catch (thrown) {
      const reason = thrown instanceof Error ? thrown.message : String(thrown);
      if (!isReported) onWriteFailure(reason);
      isReported = true;
    }
    await sleep(RETRY_INTERVAL_MILLISECONDS, signal);
  }
}

async function writeAndSync(folder: string): Promise<void> {
  const path = join(folder, "try-write");
  const handle = await open(path, "w");
  try {
    await handle.writeFile(Buffer.alloc(PROBE_BYTES));
    await handle.sync();
  } finally {
    await handle.close();
    await unlink(path);
  }
}

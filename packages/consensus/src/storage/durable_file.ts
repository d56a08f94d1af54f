/** Atomic, durable replacement of files. */

import { open, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { Buffer } from "node:buffer";

/** Syncs a folder, so that files created or removed in it stay so after a crash. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Size of the write buffer, bytes. Without it, each small part costs a system call. */
const WRITE_BUFFER_BYTES = 262_144;
/**
 * Bytes written between two syncs of a file. A sync of the log on the same disk
 * then waits about 10 ms at 100 MB/s; if a whole state of 80 MB were synced at
 * once, it would wait for most of a second.
 */
const SYNC_INTERVAL_BYTES = 1_048_576;

/** Replaces a file atomically: after a crash it holds either the old or the new content. */
export async function replaceFile(
  path: string,
  parts: readonly Uint8Array[],
): Promise<void> {
  const temporary = `${path}.new`;
  const handle = await open(temporary, "w");
  try {
    let unsyncedBytes = 0;
    for (const bytes of combineParts(parts)) {
      await handle.writeFile(bytes);
      unsyncedBytes += bytes.length;
      if (unsyncedBytes < SYNC_INTERVAL_BYTES) continue;
      await handle.datasync();
      unsyncedBytes = 0;
    }
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, path);
  await syncFolder(dirname(path));
}

/**
 * Combines small parts into larger writes. All writes share one buffer, so each
 * yielded chunk is valid only until the next one is requested.
 */
function* combineParts(parts: readonly Uint8Array[]): Iterable<Uint8Array> {
  const buffer = Buffer.allocUnsafe(WRITE_BUFFER_BYTES);
  let size = 0;
  for (const part of parts) {
    if (size + part.length > WRITE_BUFFER_BYTES) {
      yield buffer.subarray(0, size);
      size = 0;
    }
    if (part.length > WRITE_BUFFER_BYTES) {
      yield part;
      continue;
    }
    buffer.set(part, size);
    size += part.length;
  }
  yield buffer.subarray(0, size);
}

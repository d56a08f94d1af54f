/** Files that are whole and synced, or not there at all. */

import { open, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { Buffer } from "node:buffer";

/** Syncs a folder, so that names made or removed in it last. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Bytes that are gathered before they are written: small parts cost a call each. */
const GATHERED_BYTES = 262_144;
/**
 * Bytes after which a file that is being written is synced, so that the log on
 * the same disk waits no longer for its own sync: some 10 ms at 100 MB/s, where
 * a whole state of 80 MB would hold it up for most of a second.
 */
const SYNCED_BYTES = 1_048_576;

/** Replaces a file; after a crash either the old or the new content is there. */
export async function replaceFile(
  path: string,
  parts: readonly Uint8Array[],
): Promise<void> {
  const temporary = `${path}.new`;
  const handle = await open(temporary, "w");
  try {
    let unsynced = 0;
    for (const bytes of gatherParts(parts)) {
      await handle.writeFile(bytes);
      unsynced += bytes.length;
      if (unsynced < SYNCED_BYTES) continue;
      await handle.datasync();
      unsynced = 0;
    }
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, path);
  await syncFolder(dirname(path));
}

/**
 * Joins small parts into larger writes, in one buffer that serves them all:
 * what is yielded is overwritten by the next.
 */
function* gatherParts(parts: readonly Uint8Array[]): Iterable<Uint8Array> {
  const gathered = Buffer.allocUnsafe(GATHERED_BYTES);
  let size = 0;
  for (const part of parts) {
    if (size + part.length > GATHERED_BYTES) {
      yield gathered.subarray(0, size);
      size = 0;
    }
    if (part.length > GATHERED_BYTES) {
      yield part;
      continue;
    }
    gathered.set(part, size);
    size += part.length;
  }
  yield gathered.subarray(0, size);
}

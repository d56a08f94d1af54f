/** Files that are whole and synced, or not there at all. */

import { open, rename } from "node:fs/promises";
import { dirname } from "node:path";
import type { Buffer } from "node:buffer";

/** Syncs a folder, so that names made or removed in it last. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file; after a crash either the old or the new content is there. */
export async function replaceFile(
  path: string,
  content: Buffer,
): Promise<void> {
  const temporary = `${path}.new`;
  const handle = await open(temporary, "w");
  try {
    await handle.writeFile(content);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, path);
  await syncFolder(dirname(path));
}

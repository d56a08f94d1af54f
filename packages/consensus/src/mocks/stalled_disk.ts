/** Simulates a disk that stalls: syncs in one folder of this process do not return. */

import { readlinkSync } from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { createDeferred } from "@mallowlift/core";

/** Blocks all syncs of files below a folder until it is released. */
export class StalledDisk {
  readonly #released = createDeferred<void>();
  readonly #prototype: FileHandle;
  readonly #datasync: FileHandle["datasync"];

  private constructor(prototype: FileHandle) {
    this.#prototype = prototype;
    this.#datasync = prototype.datasync;
  }

  /** Starts the stall. */
  static async start(folder: string): Promise<StalledDisk> {
    const probe = await open("/dev/null");
    const stalledDisk = new StalledDisk(
      Object.getPrototypeOf(probe) as FileHandle,
    );
    await probe.close();
    const datasync = stalledDisk.#datasync;
    const released = stalledDisk.#released.promise;
    stalledDisk.#prototype.datasync = async function (this: FileHandle) {
      const path = readlinkSync(`/proc/self/fd/${this.fd}`);
      if (path.startsWith(`${folder}/`)) await released;
      await datasync.call(this);
    };
    return stalledDisk;
  }

  /** Ends the stall and lets blocked syncs continue. */
  release(): void {
    this.#prototype.datasync = this.#datasync;
    this.#released.resolve(undefined);
  }
}

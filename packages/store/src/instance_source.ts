/** Where the list of upstream instances comes from. */

import { readFile } from "node:fs/promises";
import {
  describeThrown,
  type Outcome,
  type UpstreamInstance,
} from "@mallowlift/core";
import { Err, Ok } from "ts-results";

/** Reads the whole list of instances. */
export interface InstanceSource {
  /** Reads the list; fails if any part of it could not be read. */
  read(signal: AbortSignal): Promise<Outcome<readonly UpstreamInstance[]>>;
}

/** Makes the source for an address of the settings. */
export type InstanceSourceFactory = (address: string) => InstanceSource;

/** A JSON file with an array of instances, read anew each time. */
export class FileInstanceSource implements InstanceSource {
  readonly #path: string;

  constructor(path: string) {
    this.#path = path;
  }

  /** Reads the file. */
  async read(): Promise<Outcome<readonly UpstreamInstance[]>> {
    try {
      const text = await readFile(this.#path, "utf8");
      return Ok(JSON.parse(text) as readonly UpstreamInstance[]);
    } catch (thrown) {
      return Err(describeThrown(thrown));
    }
  }
}

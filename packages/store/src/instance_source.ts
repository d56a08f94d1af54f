/** Where the list of upstream instances comes from. */

import { readFile } from "node:fs/promises";
import {
  describeThrown,
  fail,
  type Outcome,
  RESULT_CODES,
  type UpstreamInstance,
} from "@mallowlift/core";
import { Err, Ok } from "ts-results";
import { readInstances } from "./read_instance.ts";

/** Reads the whole list of instances. */
export interface InstanceSource {
  /**
   * Reads the list; fails if any part of it could not be read. An entry that
   * names no usable instance is left out, and told with the reason.
   */
  read(
    signal: AbortSignal,
    onStrange: (reason: string) => void,
  ): Promise<Outcome<readonly UpstreamInstance[]>>;
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
  async read(
    _signal: AbortSignal,
    onStrange: (reason: string) => void,
  ): Promise<Outcome<readonly UpstreamInstance[]>> {
    try {
      const entries: unknown = JSON.parse(await readFile(this.#path, "utf8"));
      if (!Array.isArray(entries)) {
        return fail(RESULT_CODES.INVALID_FIELD, "The file holds no list");
      }
      return Ok(readInstances(entries, onStrange));
    } catch (thrown) {
      return Err(describeThrown(thrown));
    }
  }
}

/** Sources of the list of upstream instances. */

import { readFile } from "node:fs/promises";
import {
  fail,
  type Outcome,
  RESULT_CODES,
  toCodedError,
  type UpstreamInstance,
} from "@mallowlift/core";
import { Err, Ok } from "ts-results";
import { readInstances } from "./read_instance.ts";

/** Reads the list of all instances. */
export interface InstanceSource {
  /**
   * Reads the list; fails if any part of it could not be read. An invalid entry
   * is skipped, and its reason is passed to the callback.
   */
  read(
    signal: AbortSignal,
    onInvalidEntry: (reason: string) => void,
  ): Promise<Outcome<readonly UpstreamInstance[]>>;
}

/** Creates the source for an address from the settings. */
export type InstanceSourceFactory = (address: string) => InstanceSource;

/** Reads a JSON file with an array of instances on every call. */
export class FileInstanceSource implements InstanceSource {
  readonly #path: string;

  constructor(path: string) {
    this.#path = path;
  }

  /** Reads the file. */
  async read(
    _signal: AbortSignal,
    onInvalidEntry: (reason: string) => void,
  ): Promise<Outcome<readonly UpstreamInstance[]>> {
    try {
      const entries: unknown = JSON.parse(await readFile(this.#path, "utf8"));
      if (!Array.isArray(entries)) {
        return fail(
          RESULT_CODES.INVALID_FIELD,
          "The file does not contain a JSON array",
        );
      }
      return Ok(readInstances(entries, onInvalidEntry));
    } catch (thrown) {
      return Err(toCodedError(thrown));
    }
  }
}

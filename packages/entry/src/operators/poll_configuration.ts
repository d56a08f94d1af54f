/** Reads the configuration from its owner. */

import { type ConfigurationUpdate, type Outcome } from "@mallowlift/core";
import type { EntryParts } from "../entry_parts.ts";

/** Group that holds the configuration. */
export const CONFIGURATION_GROUP = 0;
/** Longest wait for an answer that needs no change to happen first, ms. */
export const SHORT_CALL_MILLISECONDS = 5_000;

/** Asks for the changes after a revision; -1 asks for everything. */
export async function pollConfiguration(
  parts: EntryParts,
  revision: number,
  holdMilliseconds: number,
): Promise<Outcome<ConfigurationUpdate>> {
  return await parts.owners.call(CONFIGURATION_GROUP, {
    name: "configuration.poll",
    createRequest: () => ({
      daemonId: "",
      bootId: "",
      revision,
      holdMilliseconds,
    }),
  }, { timeoutMilliseconds: SHORT_CALL_MILLISECONDS + holdMilliseconds });
}

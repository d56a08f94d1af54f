/** Polls the owner of the configuration for changes. */

import { type ConfigurationUpdate, type Outcome } from "@mallowlift/core";
import type { EntryContext } from "../entry_context.ts";

/** Number of the group that stores the configuration. */
export const CONFIGURATION_GROUP = 0;
/** Timeout for a request that the owner does not hold back, ms. */
export const ANSWER_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Requests the changes after a revision, or all resources if it is -1. If there
 * is no change, the owner holds the request for up to `holdMilliseconds`.
 */
export async function pollConfiguration(
  context: EntryContext,
  poll: {
    readonly revision: number;
    readonly holdMilliseconds: number;
    readonly signal: AbortSignal;
  },
): Promise<Outcome<ConfigurationUpdate>> {
  const { revision, holdMilliseconds, signal } = poll;
  return await context.owners.call(CONFIGURATION_GROUP, {
    name: "configuration.poll",
    createRequest: () => ({
      daemonId: "",
      bootId: "",
      revision,
      holdMilliseconds,
    }),
  }, {
    timeoutMilliseconds: ANSWER_TIMEOUT_MILLISECONDS + holdMilliseconds,
    signal,
  });
}

import type { Outcome } from "@mallowlift/core";
import type { SiteCommand, SiteResult } from "@mallowlift/sessions";

/**
 * Proposes a command to the quorum and returns its result. Callers of the same
 * command share one proposal. The signal aborts when the caller has given up.
 */
export type ProposeCommand = (
  command: SiteCommand,
  signal: AbortSignal,
) => Promise<Outcome<SiteResult>>;

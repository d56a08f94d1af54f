/** Creates the quarantine of a gateway, which logs what it holds. */

import type { Logger, Settings } from "@mallowlift/core";
import { Quarantine } from "./quarantine.ts";

/** Creates a quarantine with the limits of the settings. */
export function createLoggedQuarantine(
  settings: Pick<
    Settings["gateway"],
    "quarantineEnds" | "quarantineMilliseconds"
  >,
  logger: Logger,
): Quarantine {
  return new Quarantine({
    maxEnds: settings.quarantineEnds,
    holdMilliseconds: settings.quarantineMilliseconds,
  }, {
    onQuarantined: (fingerprint, suspect) =>
      logger.warn("Request quarantined", {
        request: fingerprint,
        upstreams: suspect.ends.map(({ upstream }) => upstream).join(","),
        hold_ms: Math.round(
          suspect.heldUntil - (suspect.ends.at(-1)?.endedAt ?? 0),
        ),
      }),
    onReleased: (fingerprint, reason) =>
      logger.info("Request released", { request: fingerprint, reason }),
  });
}

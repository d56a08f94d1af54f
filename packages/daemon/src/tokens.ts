/** Names under which the parts of a daemon are registered for injection. */

/** Injection tokens. */
export const TOKENS = {
  SETTINGS: "settings",
  LOGGER: "logger",
  METRICS: "metrics",
  LINKS: "links",
  BOOT_ID: "boot_id",
  DIALECTS: "dialects",
  LIVE_SETTINGS: "live_settings",
  BOOT: "boot",
} as const;

/** Injection tokens under which the components of a daemon are registered. */

/** Tokens of the dependency injection container. */
export const TOKENS = {
  SETTINGS: "settings",
  LOGGER: "logger",
  METRICS: "metrics",
  LINKS: "links",
  BOOT_ID: "boot_id",
  DIALECTS: "dialects",
  LIVE_SETTINGS: "live_settings",
  BOOT: "boot",
  CHAT_ROLES: "chat_roles",
} as const;

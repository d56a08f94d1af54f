/** Finds the address for callers in a settings file without validating the file. */

import { readFileSync } from "node:fs";
import { parse } from "ini";
import type { PortAddress } from "./held_port.ts";

const SETTINGS_OPTIONS: readonly string[] = ["-s", "--settings"];
const ADDRESS_PATTERN = /^(.+):(\d+)$/;

interface GatewaySettings {
  readonly daemon?: { readonly roles?: string };
  readonly gateway?: { readonly callers_listen?: string };
}

/** Returns the path of the settings file on a command line; undefined if there is none. */
export function findSettingsPath(
  commandLine: readonly string[],
): string | undefined {
  for (const [index, argument] of commandLine.entries()) {
    if (SETTINGS_OPTIONS.includes(argument)) return commandLine[index + 1];
    if (argument.startsWith("--settings=")) return argument.slice(11);
  }
  return undefined;
}

/**
 * Returns the address at which a gateway listens for callers; undefined if the
 * settings name no gateway or no valid address. The full validation reports
 * mistakes later.
 *
 * @example
 * ```ts
 * findCallersAddress("[daemon]\nroles = gateway\n[gateway]\ncallers_listen = 0.0.0.0:80");
 * // { host: "0.0.0.0", port: 80 }
 * ```
 */
export function findCallersAddress(text: string): PortAddress | undefined {
  const settings = parse(text) as GatewaySettings;
  const roles = String(settings.daemon?.roles ?? "").split(",");
  if (!roles.some((role) => role.trim() === "gateway")) return undefined;
  const listen = String(settings.gateway?.callers_listen ?? "");
  const [, host, port] = ADDRESS_PATTERN.exec(listen) ?? [];
  if (host === undefined || port === undefined) return undefined;
  return { host, port: Number(port) };
}

/** Reads a settings file; empty if that fails, which the full validation reports later. */
export function readSettingsText(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch {
    return "";
  }
}

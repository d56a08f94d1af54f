/** Finds the callers' port in a settings file without checking the file. */

import { readFileSync } from "node:fs";
import { parse } from "ini";
import type { PortAddress } from "./held_port.ts";

const SETTINGS_OPTIONS: readonly string[] = ["-s", "--settings"];
const ADDRESS = /^(.+):(\d+)$/;

interface SettingsText {
  readonly daemon?: { readonly roles?: string };
  readonly gateway?: { readonly callers_listen?: string };
}

/** Returns the settings file that a command line names; undefined if none. */
export function findSettingsPath(
  commandLine: readonly string[],
): string | undefined {
  for (const [index, word] of commandLine.entries()) {
    if (SETTINGS_OPTIONS.includes(word)) return commandLine[index + 1];
    if (word.startsWith("--settings=")) return word.slice(11);
  }
  return undefined;
}

/**
 * Returns where a gateway listens to callers; undefined if the settings name
 * no gateway or cannot be read, which the full check reports later.
 *
 * @example
 * ```ts
 * findCallersListen("[daemon]\nroles = gateway\n[gateway]\ncallers_listen = 0.0.0.0:80");
 * // { host: "0.0.0.0", port: 80 }
 * ```
 */
export function findCallersListen(text: string): PortAddress | undefined {
  const settings = parse(text) as SettingsText;
  const roles = String(settings.daemon?.roles ?? "").split(",");
  if (!roles.some((role) => role.trim() === "gateway")) return undefined;
  const listen = String(settings.gateway?.callers_listen ?? "");
  const [, host, port] = ADDRESS.exec(listen) ?? [];
  if (host === undefined || port === undefined) return undefined;
  return { host, port: Number(port) };
}

/** Reads a settings file; empty if that fails, which the full check reports. */
export function readSettingsText(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch {
    return "";
  }
}

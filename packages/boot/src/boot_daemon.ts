/** Opens the callers' port, then loads and runs the daemon. */

import process from "node:process";
import {
  findCallersListen,
  findSettingsPath,
  readSettingsText,
} from "./find_callers_listen.ts";
import { HeldPort } from "./held_port.ts";

/** What the first steps of a process leave to the daemon. */
export interface BootParts {
  /** Callers' port, if the settings give one. */
  readonly heldPort: HeldPort | undefined;
  /** Resolves once the process is asked to end, also while it still starts. */
  readonly stopAsked: Promise<void>;
}

/** Runs a daemon on what the first steps have left. */
export type DaemonMain = (parts: BootParts) => void;

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/**
 * Boots a daemon; its code is loaded only once the port is open.
 *
 * @example
 * ```ts
 * void bootDaemon(() => loadScript(path).exports.main);
 * ```
 */
export async function bootDaemon(load: () => DaemonMain): Promise<void> {
  const stopAsked = new Promise<void>((resolve) => {
    for (const signal of STOP_SIGNALS) process.once(signal, () => resolve());
  });
  // Unheard it would end the process; the settings are read later in any case.
  process.on("SIGHUP", () => undefined);
  const heldPort = await holdCallersPort(process.argv.slice(2));
  load()({ heldPort, stopAsked });
}

/** Opens the port that the settings give to callers; undefined if there is none. */
export async function holdCallersPort(
  commandLine: readonly string[],
): Promise<HeldPort | undefined> {
  // A check of the settings opens nothing.
  if (commandLine.includes("--check")) return undefined;
  const path = findSettingsPath(commandLine);
  if (path === undefined) return undefined;
  const address = findCallersListen(readSettingsText(path));
  if (address === undefined) return undefined;
  // A port that cannot be opened is reported by the server that needs it.
  return await HeldPort.open(address).catch(() => undefined);
}

/** Opens the port for callers, then loads and runs the daemon. */

import { performance } from "node:perf_hooks";
import process from "node:process";
import {
  findCallersAddress,
  findSettingsPath,
  readSettingsText,
} from "./callers_address.ts";
import { HeldPort } from "./held_port.ts";

/** Results of the boot that the daemon uses. */
export interface BootResult {
  /** Port for callers; undefined if the settings name none or it cannot be opened. */
  readonly heldPort: HeldPort | undefined;
  /**
   * Resolves when the process is asked to stop, even while it is still starting,
   * with the time of the request by the local clock (`performance.now`), ms.
   */
  readonly stopRequested: Promise<number>;
}

/** Runs a daemon with the results of the boot. */
export type DaemonMain = (boot: BootResult) => void;

/**
 * Boots a daemon. Its code is loaded only after the port is open, so that
 * callers can connect during the load.
 *
 * @example
 * ```ts
 * void bootDaemon(() => loadScript(path).exports.main);
 * ```
 */
export async function bootDaemon(load: () => DaemonMain): Promise<void> {
  const stopRequested = new Promise<number>((resolve) => {
    const request = () => resolve(performance.now());
    // Without a handler, a repeated SIGTERM would end the process amid its stop.
    process.on("SIGTERM", request);
    // A second SIGINT ends the process at once.
    process.once("SIGINT", request);
  });
  // Without a handler, SIGHUP would end the process. It can be ignored here,
  // because the settings are read later.
  process.on("SIGHUP", () => undefined);
  const heldPort = await openCallersPort(process.argv.slice(2));
  load()({ heldPort, stopRequested });
}

/** Opens the port for callers; undefined if the settings name none or it cannot be opened. */
export async function openCallersPort(
  commandLine: readonly string[],
): Promise<HeldPort | undefined> {
  // Checking the settings does not need a port.
  if (commandLine.includes("--check")) return undefined;
  const path = findSettingsPath(commandLine);
  if (path === undefined) return undefined;
  const address = findCallersAddress(readSettingsText(path));
  if (address === undefined) return undefined;
  // If the port cannot be opened, the server that needs it reports the error.
  return await HeldPort.open(address).catch(() => undefined);
}

/** Entry point of the daemon. */

import "reflect-metadata";
import { randomUUID } from "node:crypto";
import process from "node:process";
import {
  createLogger,
  createMetrics,
  describeMistake,
  loadSettings,
  type Logger,
  type Settings,
} from "@mallowlift/core";
import { PeerLinks } from "@mallowlift/transport";
import { Command } from "commander";
import { container } from "tsyringe";
import { Daemon } from "./daemon.ts";
import { type Dialects, NATIVE_DIALECTS } from "./dialects.ts";
import { LiveSettings } from "./live_settings.ts";
import { TOKENS } from "./tokens.ts";

/** Exit codes of the daemon. */
export const EXIT_CODES = { OK: 0, FAILED: 1, SETTINGS: 2 } as const;

interface MainOptions {
  readonly settings: string;
  readonly check?: boolean;
}

/**
 * Reads the command line and runs the daemon until it is told to stop.
 *
 * @example
 * ```ts
 * runMain(); // speaks the product's own dialects
 * ```
 */
export function runMain(dialects: Dialects = NATIVE_DIALECTS): void {
  const program = new Command("mallowlift")
    .description("Daemon of mallowlift; its settings file gives it its roles")
    .requiredOption("-s, --settings <file>", "settings file (INI)")
    .option("--check", "check the settings file and exit")
    .addHelpText(
      "after",
      "\nExample:\n  mallowlift --settings /etc/mallowlift/entry.ini",
    );
  program.action((options: MainOptions) => startDaemon(options, dialects));
  program.parse();
}

function startDaemon(options: MainOptions, dialects: Dialects): void {
  const settings = loadSettings(options.settings);
  if (settings.err) {
    for (const mistake of settings.val) {
      process.stderr.write(`${describeMistake(mistake)}\n`);
    }
    process.exitCode = EXIT_CODES.SETTINGS;
    return;
  }
  if (options.check === true) {
    process.stdout.write("The settings are valid\n");
    return;
  }
  void superviseDaemon(settings.val, { path: options.settings, dialects });
}

async function superviseDaemon(
  settings: Settings,
  parts: { readonly path: string; readonly dialects: Dialects },
): Promise<void> {
  const logger = createLogger(settings.daemon.name, settings.daemon.logLevel);
  const live = new LiveSettings(parts.path, settings, logger);
  container.registerInstance(TOKENS.LIVE_SETTINGS, live);
  container.registerInstance(TOKENS.DIALECTS, parts.dialects);
  registerParts(settings, logger);
  const daemon = container.resolve(Daemon);
  try {
    await daemon.start();
  } catch (thrown) {
    return failDaemon(logger, thrown);
  }
  live.watch();
  process.on("SIGHUP", () => live.reload());
  const stop = () => void stopDaemon(daemon);
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
  daemon.ended.catch((thrown) => failDaemon(logger, thrown));
}

function registerParts(settings: Settings, logger: Logger): void {
  const { network, daemon } = settings;
  container.registerInstance(TOKENS.SETTINGS, settings);
  container.registerInstance(TOKENS.LOGGER, logger);
  const metrics = createMetrics();
  container.registerInstance(TOKENS.METRICS, metrics);
  container.registerInstance(TOKENS.BOOT_ID, randomUUID());
  container.registerInstance(
    TOKENS.LINKS,
    new PeerLinks({
      name: daemon.name,
      sharedKey: network.sharedKey,
      maxFrameBytes: network.maxFrameBytes,
      connectMilliseconds: network.connectMilliseconds,
      metrics,
    }),
  );
}

async function stopDaemon(daemon: Daemon): Promise<void> {
  await daemon.stop();
  process.exit(EXIT_CODES.OK);
}

function failDaemon(logger: Logger, thrown: unknown): void {
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  logger.error("Ended by a fault", { message });
  process.stderr.write(`mallowlift: ${message}\n`);
  process.exit(EXIT_CODES.FAILED);
}

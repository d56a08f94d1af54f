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
  LogQueue,
  type Settings,
  sleep,
} from "@mallowlift/core";
import type { BootParts } from "@mallowlift/boot";
import { PeerLinks } from "@mallowlift/transport";
import { Command } from "commander";
import { container } from "tsyringe";
import { Daemon } from "./daemon.ts";
import { type Dialects, NATIVE_DIALECTS } from "./dialects.ts";
import { LiveSettings } from "./live_settings.ts";
import { TOKENS } from "./tokens.ts";

/** Exit codes of the daemon. */
export const EXIT_CODES = { OK: 0, FAILED: 1, SETTINGS: 2 } as const;

/** Longest wait for the last lines to be written, ms: a full pipe must not hold the end. */
const LAST_LOGS_MILLISECONDS = 200;

/** Longest rest of a start after the order to end, ms: far above a usual start. */
const START_MILLISECONDS = 2_000;

interface MainOptions {
  readonly settings: string;
  readonly check?: boolean;
}

/**
 * Reads the command line and runs the daemon until it is told to stop.
 *
 * @example
 * ```ts
 * bootDaemon(() => runMain); // speaks the product's own dialects
 * ```
 */
export function runMain(
  boot: BootParts,
  dialects: Dialects = NATIVE_DIALECTS,
): void {
  const program = new Command("mallowlift")
    .description("Daemon of mallowlift; its settings file gives it its roles")
    .requiredOption("-s, --settings <file>", "settings file (INI)")
    .option("--check", "check the settings file and exit")
    .addHelpText(
      "after",
      "\nExample:\n  mallowlift --settings /etc/mallowlift/entry.ini",
    );
  program.action((options: MainOptions) =>
    startDaemon(options, { dialects, boot })
  );
  program.parse();
}

interface MainParts {
  readonly dialects: Dialects;
  readonly boot: BootParts;
}

function startDaemon(options: MainOptions, parts: MainParts): void {
  const settings = loadSettings(options.settings);
  if (settings.err) {
    parts.boot.heldPort?.close();
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
  void superviseDaemon(settings.val, {
    path: options.settings,
    ...parts,
  });
}

async function superviseDaemon(
  settings: Settings,
  parts: MainParts & { readonly path: string },
): Promise<void> {
  const { name, logLevel } = settings.daemon;
  const logs = new LogQueue();
  const logger = createLogger(name, logLevel, logs);
  const end = async (code: number) => {
    await logs.close(LAST_LOGS_MILLISECONDS);
    process.exit(code);
  };
  const live = new LiveSettings(parts.path, settings, logger);
  container.registerInstance(TOKENS.LIVE_SETTINGS, live);
  container.registerInstance(TOKENS.DIALECTS, parts.dialects);
  container.registerInstance(TOKENS.BOOT, parts.boot);
  registerParts(settings, logger);
  const daemon = container.resolve(Daemon);
  void parts.boot.stopAsked.then(async () => {
    // A start that waits for its disk would outlive the order to end.
    await sleep(START_MILLISECONDS);
    if (!daemon.isStarted) await end(EXIT_CODES.OK);
  });
  try {
    await daemon.start();
  } catch (thrown) {
    return await end(describeFailure(logger, thrown));
  }
  live.watch();
  process.on("SIGHUP", () => live.reload());
  void parts.boot.stopAsked.then(async () => {
    await daemon.stop();
    await end(EXIT_CODES.OK);
  });
  daemon.ended.catch((thrown) => end(describeFailure(logger, thrown)));
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

/** Says why the daemon ends, and returns its exit code. */
function describeFailure(logger: Logger, thrown: unknown): number {
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  logger.error("Ended by a fault", { message });
  process.stderr.write(`mallowlift: ${message}\n`);
  return EXIT_CODES.FAILED;
}

/** Entry point of the daemon: reads the command line, loads the settings and runs the daemon. */

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
import type { BootResult } from "@mallowlift/boot";
import { PeerLinks } from "@mallowlift/transport";
import { Command } from "commander";
import { container } from "tsyringe";
import { loadChatRoles } from "./chat_roles.ts";
import { Daemon } from "./daemon.ts";
import { type Dialects, NATIVE_DIALECTS } from "./dialects.ts";
import { LiveSettings } from "./live_settings.ts";
import { TOKENS } from "./tokens.ts";

/** Exit codes of the daemon. */
export const EXIT_CODES = { OK: 0, FAILED: 1, SETTINGS: 2 } as const;

/** Longest wait for the last log lines to be written, ms: a full pipe must not delay the exit. */
const LOG_FLUSH_TIMEOUT_MILLISECONDS = 200;

/** Longest time that a stop waits for the start to end, ms: much longer than a usual start. */
const START_GRACE_MILLISECONDS = 2_000;

interface CommandLineOptions {
  readonly settings: string;
  readonly check?: boolean;
}

/**
 * Reads the command line and runs the daemon until a stop is requested.
 *
 * @example
 * ```ts
 * bootDaemon(() => runMain); // uses the native dialects
 * ```
 */
export function runMain(
  boot: BootResult,
  dialects: Dialects = NATIVE_DIALECTS,
): void {
  const program = new Command("mallowlift")
    .description(
      "Runs a mallowlift daemon with the roles that its settings file names",
    )
    .requiredOption("-s, --settings <file>", "settings file (INI)")
    .option("--check", "check the settings file and exit")
    .addHelpText(
      "after",
      "\nExample:\n  mallowlift --settings /etc/mallowlift/entry.ini",
    );
  program.action((options: CommandLineOptions) =>
    startDaemon(options, { dialects, boot })
  );
  program.parse();
}

interface DaemonOptions {
  readonly dialects: Dialects;
  readonly boot: BootResult;
}

function startDaemon(
  options: CommandLineOptions,
  daemonOptions: DaemonOptions,
): void {
  const settings = loadSettings(options.settings);
  if (settings.err) {
    daemonOptions.boot.heldPort?.close();
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
    ...daemonOptions,
  });
}

async function superviseDaemon(
  settings: Settings,
  options: DaemonOptions & { readonly path: string },
): Promise<void> {
  const { name, logLevel } = settings.daemon;
  const logs = new LogQueue();
  const logger = createLogger(name, logLevel, logs);
  const exit = async (code: number) => {
    await logs.close(LOG_FLUSH_TIMEOUT_MILLISECONDS);
    process.exit(code);
  };
  const liveSettings = new LiveSettings(options.path, settings, logger);
  container.registerInstance(TOKENS.LIVE_SETTINGS, liveSettings);
  container.registerInstance(TOKENS.DIALECTS, options.dialects);
  container.registerInstance(TOKENS.BOOT, options.boot);
  container.registerInstance(
    TOKENS.CHAT_ROLES,
    await loadChatRoles(settings.daemon.roles),
  );
  registerDependencies(settings, logger);
  const daemon = container.resolve(Daemon);
  let isStopping = false;
  const fail = async (thrown: unknown) => {
    const code = reportFailure(logger, thrown);
    // A role that has started may still answer its open requests.
    if (!isStopping) await exit(code);
  };
  const started = daemon.start();
  void options.boot.stopRequested.then(async (requestedAt) => {
    isStopping = true;
    process.on("SIGTERM", () => logger.warn("Stop signal ignored"));
    // A start that waits for a slow disk must not delay the stop any longer.
    await Promise.race([
      started.catch(() => undefined),
      sleep(START_GRACE_MILLISECONDS),
    ]);
    await daemon.stop(requestedAt);
    await exit(EXIT_CODES.OK);
  });
  try {
    await started;
  } catch (thrown) {
    return await fail(thrown);
  }
  liveSettings.watch();
  process.on("SIGHUP", () => liveSettings.reload());
  daemon.ended.catch(fail);
}

function registerDependencies(settings: Settings, logger: Logger): void {
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
      logger: logger.forPart("links"),
      metrics,
    }),
  );
}

/** Reports why the daemon ends, and returns its exit code. */
function reportFailure(logger: Logger, thrown: unknown): number {
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  logger.error("Daemon failed", { message });
  process.stderr.write(`mallowlift: ${message}\n`);
  return EXIT_CODES.FAILED;
}

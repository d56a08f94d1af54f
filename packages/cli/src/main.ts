/** Entry point of mallowctl. */

import process from "node:process";
import { CommanderError } from "commander";
import { createCommandLine, PROCESS_OUTPUT } from "./cli_app.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Parses the command line, runs its command and sets the exit code. */
export function runMain(): void {
  const program = createCommandLine(PROCESS_OUTPUT);
  for (const command of [program, ...program.commands]) command.exitOverride();
  program.parseAsync().catch((thrown) => {
    if (thrown instanceof CommanderError) {
      process.exitCode = thrown.exitCode === 0
        ? EXIT_CODES.OK
        : EXIT_CODES.USAGE;
      return;
    }
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    PROCESS_OUTPUT.printError(`mallowctl: ${message}`);
    process.exitCode = EXIT_CODES.REFUSED;
  });
}

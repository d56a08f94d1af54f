/** What every command of mallowctl works with. */

import type { CodedError, Outcome } from "@mallowlift/core";
import { RESULT_CODES } from "@mallowlift/core";
import { OperatorClient } from "./client/operator_client.ts";
import { EXIT_CODES, type ExitCode, findExitCode } from "./exit_codes.ts";

/** Options that stand before every command. */
export interface GlobalOptions {
  readonly entry: string;
  readonly token: string;
  readonly output: "table" | "json";
}

/** Where a command writes, and how it ends. */
export interface CommandOutput {
  print(line: string): void;
  printError(line: string): void;
  exit(code: ExitCode): void;
}

/** Context of one command. */
export class CommandContext {
  readonly client: OperatorClient;
  readonly #options: GlobalOptions;
  readonly #output: CommandOutput;

  constructor(options: GlobalOptions, output: CommandOutput) {
    this.#options = options;
    this.#output = output;
    this.client = new OperatorClient(options);
  }

  /** Prints a value as JSON, or as the text for people. */
  show(value: unknown, describe: () => string): void {
    const isJson = this.#options.output === "json";
    this.#output.print(
      isJson ? JSON.stringify(value, undefined, 2) : describe(),
    );
  }

  /** Prints one line. */
  print(line: string): void {
    this.#output.print(line);
  }

  /** Shows a result, or ends with the exit code of its error. */
  finish<T>(outcome: Outcome<T>, describe: (value: T) => string): void {
    if (outcome.err) return this.failWith(outcome.val);
    const value = outcome.val;
    this.show(value, () => describe(value));
  }

  /** Ends with the exit code of an error. */
  failWith(error: CodedError): void {
    const { code, message } = error;
    this.#output.printError(
      `mallowctl: ${message} (${code.number} ${code.name})`,
    );
    const isUnreachable = code === RESULT_CODES.NOT_CONNECTED;
    this.#output.exit(
      isUnreachable ? EXIT_CODES.UNREACHABLE : findExitCode(code.number),
    );
  }

  /** Ends because the command line is wrong. */
  failUsage(message: string): void {
    this.#output.printError(`mallowctl: ${message}`);
    this.#output.exit(EXIT_CODES.USAGE);
  }
}

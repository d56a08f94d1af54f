/** Options, client and output that all commands of mallowctl share. */

import type { CodedError, Outcome } from "@mallowlift/core";
import { RESULT_CODES } from "@mallowlift/core";
import { OperatorClient } from "./client/operator_client.ts";
import { EXIT_CODES, type ExitCode, findExitCode } from "./exit_codes.ts";

/** Options that precede the command. */
export interface GlobalOptions {
  readonly entry: string;
  readonly token: string;
  readonly output: "table" | "json";
}

/** Receives a command's output and its exit code. */
export interface CommandOutput {
  print(line: string): void;
  printError(line: string): void;
  exit(code: ExitCode): void;
}

/** Gives one command its client, and prints its result or its error. */
export class CommandContext {
  readonly client: OperatorClient;
  readonly #options: GlobalOptions;
  readonly #output: CommandOutput;

  constructor(options: GlobalOptions, output: CommandOutput) {
    this.#options = options;
    this.#output = output;
    this.client = new OperatorClient(options);
  }

  /** Prints a value in the output format of the options: as JSON or as text. */
  show(value: unknown, format: () => string): void {
    const isJson = this.#options.output === "json";
    this.#output.print(
      isJson ? JSON.stringify(value, undefined, 2) : format(),
    );
  }

  /** Prints one line. */
  print(line: string): void {
    this.#output.print(line);
  }

  /** Prints the value of an outcome, or its error and sets the exit code. */
  finish<T>(outcome: Outcome<T>, format: (value: T) => string): void {
    if (outcome.err) return this.failWithError(outcome.val);
    const value = outcome.val;
    this.show(value, () => format(value));
  }

  /** Prints an error and sets its exit code. */
  failWithError(error: CodedError): void {
    const { code, message } = error;
    this.#output.printError(
      `mallowctl: ${message} (${code.number} ${code.name})`,
    );
    const isUnreachable = code === RESULT_CODES.NOT_CONNECTED;
    this.#output.exit(
      isUnreachable ? EXIT_CODES.UNREACHABLE : findExitCode(code.number),
    );
  }

  /** Prints a message about invalid arguments or files, and sets the exit code. */
  failWithUsageError(message: string): void {
    this.#output.printError(`mallowctl: ${message}`);
    this.#output.exit(EXIT_CODES.USAGE);
  }
}

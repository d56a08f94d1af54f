/** Structured logging. Content of callers must never be logged. */

import Bunyan from "bunyan";
import { LogQueue } from "./log_queue.ts";

/** Fields of a log record. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes short messages with a prefix that names the part of the daemon. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Returns a logger that uses the name of another part as its prefix. */
  forPart(part: string): Logger;
}

class BunyanLogger implements Logger {
  readonly #sink: Bunyan;
  readonly #part: string;

  constructor(sink: Bunyan, part: string) {
    this.#sink = sink;
    this.#part = part;
  }

  debug(message: string, fields: LogFields = {}): void {
    this.#sink.debug(fields, `${this.#part}: ${message}`);
  }

  info(message: string, fields: LogFields = {}): void {
    this.#sink.info(fields, `${this.#part}: ${message}`);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.#sink.warn(fields, `${this.#part}: ${message}`);
  }

  error(message: string, fields: LogFields = {}): void {
    this.#sink.error(fields, `${this.#part}: ${message}`);
  }

  forPart(part: string): Logger {
    return new BunyanLogger(this.#sink, part);
  }
}

/** Creates the logger of a daemon; by default it writes to standard output. */
export function createLogger(
  name: string,
  level: "debug" | "info" | "warn" | "error",
  stream: LogQueue = new LogQueue(),
): Logger {
  const sink = Bunyan.createLogger({
    name,
    level,
    // Bunyan only uses the write method of the stream.
    stream: stream as unknown as NodeJS.WritableStream,
  });
  return new BunyanLogger(sink, "daemon");
}

/** A logger that discards all messages, for tests. */
export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  forPart: () => SILENT_LOGGER,
};

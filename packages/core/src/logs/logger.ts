/** Structured logs. Callers' content is never passed to a logger. */

import Bunyan from "bunyan";
import { LogQueue } from "./log_queue.ts";

/** Facts that go with a log sentence. */
export type LogFacts = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes short sentences, each with the fixed prefix of one part. */
export interface Logger {
  debug(sentence: string, facts?: LogFacts): void;
  info(sentence: string, facts?: LogFacts): void;
  warn(sentence: string, facts?: LogFacts): void;
  error(sentence: string, facts?: LogFacts): void;
  /** Returns a logger with the prefix of another part. */
  forPart(part: string): Logger;
}

class BunyanLogger implements Logger {
  readonly #sink: Bunyan;
  readonly #part: string;

  constructor(sink: Bunyan, part: string) {
    this.#sink = sink;
    this.#part = part;
  }

  debug(sentence: string, facts: LogFacts = {}): void {
    this.#sink.debug(facts, `${this.#part}: ${sentence}`);
  }

  info(sentence: string, facts: LogFacts = {}): void {
    this.#sink.info(facts, `${this.#part}: ${sentence}`);
  }

  warn(sentence: string, facts: LogFacts = {}): void {
    this.#sink.warn(facts, `${this.#part}: ${sentence}`);
  }

  error(sentence: string, facts: LogFacts = {}): void {
    this.#sink.error(facts, `${this.#part}: ${sentence}`);
  }

  forPart(part: string): Logger {
    return new BunyanLogger(this.#sink, part);
  }
}

/** Makes the logger of a daemon; records go to standard output. */
export function createLogger(
  name: string,
  level: "debug" | "info" | "warn" | "error",
  stream: LogQueue = new LogQueue(),
): Logger {
  const sink = Bunyan.createLogger({
    name,
    level,
    // bunyan needs no more of a stream than its write method.
    stream: stream as unknown as NodeJS.WritableStream,
  });
  return new BunyanLogger(sink, "daemon");
}

/** A logger that drops everything, for tests. */
export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  forPart: () => SILENT_LOGGER,
};

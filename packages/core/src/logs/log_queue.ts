/** Writes log lines without ever waiting for whoever reads them. */

import { performance } from "node:perf_hooks";
import { Buffer } from "node:buffer";
import { write } from "node:fs";
import { sleep } from "../shared/sleep.ts";

/** Bytes that may wait, chosen to hold some seconds of a busy daemon's lines. */
const MAX_WAITING_BYTES = 1_048_576;
/** Lines are gathered for this long, ms, so that one write serves many. */
const GATHER_MILLISECONDS = 200;

/** Time between two looks at what is left when the queue closes, ms. */
const CLOSE_LOOK_MILLISECONDS = 5;

/** Writes some bytes and calls back. */
export type WriteBytes = (
  bytes: Buffer,
  done: (written: number, failure: Error | undefined) => void,
) => void;

/** Writes to standard output on another thread. */
export function writeToStandardOutput(
  bytes: Buffer,
  done: (written: number, failure: Error | undefined) => void,
): void {
  write(
    1,
    bytes,
    (failure, written) => done(written ?? 0, failure ?? undefined),
  );
}

/**
 * A bounded queue of lines with one writer. Lines that do not fit are dropped
 * and counted; the count is written once there is room again.
 */
export class LogQueue {
  readonly #write: WriteBytes;
  #lines: string[] = [];
  #waitingBytes = 0;
  #dropped = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(write: WriteBytes = writeToStandardOutput) {
    this.#write = write;
  }

  /** Takes one line with its line feed. */
  write(line: string): void {
    if (this.#waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.#dropped++;
      return;
    }
    this.#lines.push(line);
    this.#waitingBytes += line.length;
    if (this.#timer !== undefined || this.#isWriting) return;
    this.#timer = setTimeout(() => this.flush(), GATHER_MILLISECONDS);
  }

  /** Starts to write what waits. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#lines.length === 0) return;
    if (this.#dropped > 0) this.#lines.push(this.#describeDrops());
    const bytes = Buffer.from(this.#lines.join(""));
    this.#lines = [];
    this.#isWriting = true;
    this.#writeRest(bytes);
  }

  /** Writes what waits, but waits for it no longer than the limit. */
  async close(limitMilliseconds: number): Promise<void> {
    this.flush();
    const until = performance.now() + limitMilliseconds;
    while (
      (this.#isWriting || this.#lines.length > 0) && performance.now() < until
    ) {
      await sleep(CLOSE_LOOK_MILLISECONDS);
    }
  }

  #writeRest(bytes: Buffer): void {
    this.#write(bytes, (written, failure) => {
      const isBusy = failure !== undefined &&
        (failure as NodeJS.ErrnoException).code === "EAGAIN";
      if (failure !== undefined && !isBusy) return this.#finish();
      if (written < bytes.length) {
        const rest = bytes.subarray(written);
        setTimeout(
          () => this.#writeRest(rest),
          isBusy ? GATHER_MILLISECONDS : 0,
        );
        return;
      }
      this.#finish();
    });
  }

  #finish(): void {
    this.#isWriting = false;
    this.#waitingBytes = 0;
    for (const line of this.#lines) this.#waitingBytes += line.length;
    this.flush();
  }

  #describeDrops(): string {
    const dropped = this.#dropped;
    this.#dropped = 0;
    const record = { level: 40, msg: "log: Lines dropped", dropped };
    return `${JSON.stringify(record)}\n`;
  }
}

/**
 * Buffers log lines so that a slow reader of the log never blocks the daemon.
 */

import { performance } from "node:perf_hooks";
import { Buffer } from "node:buffer";
import { write } from "node:fs";
import { sleep } from "../shared/sleep.ts";

/**
 * Maximum size of the lines that are queued or being written: some seconds of
 * the log of a busy daemon.
 */
const MAX_PENDING_BYTES = 1_048_576;
/** Delay before queued lines are written, ms, so that they share one write. */
const FLUSH_DELAY_MILLISECONDS = 200;

/** Polling interval while the queue closes, ms. */
const CLOSE_POLL_MILLISECONDS = 5;

/** Writes bytes and calls back with the number of written bytes or an error. */
export type WriteBytes = (
  bytes: Buffer,
  done: (written: number, failure: Error | undefined) => void,
) => void;

/** Writes to standard output asynchronously, on another thread. */
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
 * A bounded queue of log lines with one writer. Lines that exceed the bound are
 * dropped, and the number of dropped lines is logged with the next write.
 */
export class LogQueue {
  readonly #write: WriteBytes;
  #lines: string[] = [];
  #pendingBytes = 0;
  #dropped = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(write: WriteBytes = writeToStandardOutput) {
    this.#write = write;
  }

  /** Queues a line, which must end with a line feed, or drops it. */
  write(line: string): void {
    if (this.#pendingBytes + line.length > MAX_PENDING_BYTES) {
      this.#dropped++;
      return;
    }
    this.#lines.push(line);
    this.#pendingBytes += line.length;
    if (this.#timer !== undefined || this.#isWriting) return;
    this.#timer = setTimeout(() => this.flush(), FLUSH_DELAY_MILLISECONDS);
  }

  /** Starts to write the queued lines unless a write is in progress. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#lines.length === 0) return;
    if (this.#dropped > 0) this.#lines.push(this.#formatDropRecord());
    const bytes = Buffer.from(this.#lines.join(""));
    this.#lines = [];
    this.#isWriting = true;
    this.#writeAll(bytes);
  }

  /**
   * Writes the queued lines and waits until they are written, up to the limit.
   */
  async close(limitMilliseconds: number): Promise<void> {
    this.flush();
    const deadline = performance.now() + limitMilliseconds;
    while (
      (this.#isWriting || this.#lines.length > 0) &&
      performance.now() < deadline
    ) {
      await sleep(CLOSE_POLL_MILLISECONDS);
    }
  }

  #writeAll(bytes: Buffer): void {
    this.#write(bytes, (written, failure) => {
      const isBusy = failure !== undefined &&
        (failure as NodeJS.ErrnoException).code === "EAGAIN";
      if (failure !== undefined && !isBusy) return this.#finishWrite();
      if (written < bytes.length) {
        const rest = bytes.subarray(written);
        setTimeout(
          () => this.#writeAll(rest),
          isBusy ? FLUSH_DELAY_MILLISECONDS : 0,
        );
        return;
      }
      this.#finishWrite();
    });
  }

  #finishWrite(): void {
    this.#isWriting = false;
    this.#pendingBytes = 0;
    for (const line of this.#lines) this.#pendingBytes += line.length;
    this.flush();
  }

  #formatDropRecord(): string {
    const dropped = this.#dropped;
    this.#dropped = 0;
    const record = { level: 40, msg: "log: Lines dropped", dropped };
    return `${JSON.stringify(record)}\n`;
  }
}

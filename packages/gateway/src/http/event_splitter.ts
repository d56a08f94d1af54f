/** Splits a stream of server-sent events into complete events. */

import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Largest event that is accepted, bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** Buffers bytes until an event is complete. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** True if no incomplete event is buffered. */
  get isEmpty(): boolean {
    return this.#pending.length === 0;
  }

  /** Discards an incomplete event. */
  clear(): void {
    this.#pending = Buffer.alloc(0);
  }

  /**
   * Adds bytes and returns the events that are now complete, each with its
   * blank line.
   */
  push(bytes: Buffer): readonly Buffer[] {
    const bytesToSplit = this.#pending.length === 0
      ? bytes
      : Buffer.concat([this.#pending, bytes]);
    const events: Buffer[] = [];
    let start = 0;
    let end = findEventEnd(bytesToSplit, start);
    while (end !== -1) {
      events.push(bytesToSplit.subarray(start, end));
      start = end;
      end = findEventEnd(bytesToSplit, start);
    }
    this.#pending = bytesToSplit.subarray(start);
    return events;
  }

  /** True if the incomplete event exceeds the size limit. */
  get isTooLong(): boolean {
    return this.#pending.length > MAX_EVENT_BYTES;
  }
}

/**
 * Returns the data of an event followed by a line feed; empty if it has no
 * data.
 */
export function readEventData(event: Buffer): Buffer {
  const lines: string[] = [];
  for (const line of event.toString("latin1").split(/\r?\n/)) {
    if (!line.startsWith("data:")) continue;
    lines.push(line.startsWith("data: ") ? line.slice(6) : line.slice(5));
  }
  if (lines.length === 0) return Buffer.alloc(0);
  return Buffer.from(`${lines.join("\n")}\n`, "latin1");
}

/** Returns the id of an event; undefined if it has none. */
export function readEventId(event: Buffer): string | undefined {
  for (const line of event.toString("latin1").split(/\r?\n/)) {
    if (line.startsWith("id:")) return line.slice(3).trim();
  }
  return undefined;
}

/** Returns the index after the blank line that ends the event, or -1. */
function findEventEnd(bytes: Buffer, start: number): number {
  let index = bytes.indexOf(LINE_FEED, start);
  while (index !== -1) {
    let next = index + 1;
    if (bytes[next] === CARRIAGE_RETURN) next++;
    if (bytes[next] === LINE_FEED) return next + 1;
    index = bytes.indexOf(LINE_FEED, index + 1);
  }
  return -1;
}

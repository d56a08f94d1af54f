/** Splits a series of server-sent events into whole events. */

import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Largest event, bytes; a longer one is no event. */
const MAX_EVENT_BYTES = 1_048_576;

/** Gathers bytes until events are whole. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** True if no part of an event waits for its end. */
  get isEmpty(): boolean {
    return this.#rest.length === 0;
  }

  /** Forgets the part of an event that has come. */
  clear(): void {
    this.#rest = Buffer.alloc(0);
  }

  /** Takes bytes and returns the events that are now whole, blank line included. */
  push(bytes: Buffer): readonly Buffer[] {
    const all = this.#rest.length === 0
      ? bytes
      : Buffer.concat([this.#rest, bytes]);
    const events: Buffer[] = [];
    let start = 0;
    let end = findEventEnd(all, start);
    while (end !== -1) {
      events.push(all.subarray(start, end));
      start = end;
      end = findEventEnd(all, start);
    }
    this.#rest = all.subarray(start);
    return events;
  }

  /** True if what waits cannot be an event any more. */
  get isTooLong(): boolean {
    return this.#rest.length > MAX_EVENT_BYTES;
  }
}

/** The data of an event followed by a line feed; empty if it has no data. */
export function readEventData(event: Buffer): Buffer {
  const lines: string[] = [];
  for (const line of event.toString("latin1").split(/\r?\n/)) {
    if (!line.startsWith("data:")) continue;
    lines.push(line.startsWith("data: ") ? line.slice(6) : line.slice(5));
  }
  if (lines.length === 0) return Buffer.alloc(0);
  return Buffer.from(`${lines.join("\n")}\n`, "latin1");
}

/** The id of an event; undefined if it has none. */
export function readEventId(event: Buffer): string | undefined {
  for (const line of event.toString("latin1").split(/\r?\n/)) {
    if (line.startsWith("id:")) return line.slice(3).trim();
  }
  return undefined;
}

/** Index after the blank line that ends the event, or -1. */
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

/** Passes the events of a stream on to the caller, and keeps their data. */

import { Buffer } from "node:buffer";
import type { AnswerHead } from "../dialect.ts";
import {
  EventSplitter,
  readEventData,
  readEventId,
} from "../http/event_splitter.ts";
import { dropHopHeaders } from "../http/headers.ts";
import type { OpenCall } from "./open_call.ts";
import type { EventSink } from "./run_attempt.ts";

/**
 * Relays whole events only, so that a cut one never reaches the caller. A
 * stream that goes on at another upstream keeps the head of the first one, and
 * no event is passed on twice.
 */
export class EventRelay implements EventSink {
  readonly #call: OpenCall;
  readonly #splitter = new EventSplitter();
  readonly #data: Buffer[] = [];
  #count = 0;
  #lastId = "";

  constructor(call: OpenCall) {
    this.#call = call;
  }

  /** Events that were passed on. */
  get count(): number {
    return this.#count;
  }

  /** Id of the last event that was passed on; empty if there is none. */
  get lastId(): string {
    return this.#lastId;
  }

  /** True if nothing was passed on, or the last event had an id. */
  get canGoOn(): boolean {
    return this.#count === 0 || this.#lastId !== "";
  }

  /** Data of all events, each followed by a line feed. */
  joinData(): Buffer {
    return Buffer.concat(this.#data);
  }

  /** Starts the caller's answer, unless an earlier upstream has started it. */
  start(head: AnswerHead): void {
    this.#splitter.clear();
    if (this.#call.hasAnswered) return;
    this.#call.startAnswer(head.status, dropHopHeaders(head.headers));
  }

  /** Passes on the events that are whole. */
  push(bytes: Buffer): boolean {
    for (const event of this.#splitter.push(bytes)) {
      const id = readEventId(event);
      if (id !== undefined) {
        if (this.#isPassedOn(id)) continue;
        this.#lastId = id;
      }
      const data = readEventData(event);
      this.#data.push(Buffer.from(data));
      if (data.length > 0) this.#count++;
      this.#call.sendEvent(event);
    }
    return !this.#splitter.isTooLong;
  }

  /** True if no event waits for its end. */
  isAtEventEnd(): boolean {
    return this.#splitter.isEmpty;
  }

  /** Ids rise, so an event that is not newer than the last was passed on. */
  #isPassedOn(id: string): boolean {
    return this.#lastId !== "" && Number(id) <= Number(this.#lastId);
  }
}

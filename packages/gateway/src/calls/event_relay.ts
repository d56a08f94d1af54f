/** Relays the events of a stream to the caller and collects their data. */

import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import type { AnswerHead } from "../dialect.ts";
import {
  EventSplitter,
  readEventData,
  readEventId,
} from "../http/event_splitter.ts";
import { dropHopHeaders } from "../http/headers.ts";
import type { StreamProgress } from "../upstreams/answer_framing.ts";
import type { OpenCall } from "./open_call.ts";
import type { EventSink } from "./attempt.ts";
import type { TurnObserver } from "./turn_observer.ts";

/**
 * Relays only complete events, so that the caller never receives a truncated
 * one. A stream that resumes at another upstream keeps the head of the first
 * answer, and events that were already sent are skipped.
 */
export class EventRelay implements EventSink {
  readonly #call: OpenCall;
  readonly #observer: TurnObserver | undefined;
  readonly #splitter = new EventSplitter();
  readonly #data: Buffer[] = [];
  /** Head of an answer whose first event has not arrived yet. */
  #waitingHead: AnswerHead | undefined;
  #eventCount = 0;
  /** True if the stream of the current attempt has had an event with data. */
  #hasEvents = false;
  #lastId = "";

  constructor(call: OpenCall, observer?: TurnObserver) {
    this.#call = call;
    this.#observer = observer;
  }

  /** Number of events with data that were sent to the caller. */
  get count(): number {
    return this.#eventCount;
  }

  /** Id of the last event that was sent to the caller; empty if there is none. */
  get lastId(): string {
    return this.#lastId;
  }

  /** True if no event with data was sent yet, or an event with an id was. */
  get canResume(): boolean {
    return this.#eventCount === 0 || this.#lastId !== "";
  }

  /**
   * The data of all events, each followed by a line feed; empty if the route
   * keeps no history.
   */
  joinData(): Buffer {
    return Buffer.concat(this.#data);
  }

  /**
   * Starts the stream of an attempt. Its head is held until the first event, so
   * that a stream that ends before it can still be answered with a failure.
   */
  start(head: AnswerHead): void {
    this.#splitter.clear();
    this.#hasEvents = false;
    this.#waitingHead = head;
  }

  /** Sends all complete events; false if an event is too long. */
  push(bytes: Buffer): boolean {
    const { keepsHistory } = this.#call.parts.route;
    const events: Buffer[] = [];
    for (const event of this.#splitter.push(bytes)) {
      const data = readEventData(event);
      if (data.length > 0) this.#hasEvents = true;
      const id = readEventId(event);
      if (id !== undefined) {
        if (this.#isDuplicate(id)) continue;
        this.#lastId = id;
      }
      if (keepsHistory) this.#data.push(Buffer.from(data));
      if (data.length > 0) {
        this.#eventCount++;
        this.#observer?.recordEvent(performance.now());
      }
      events.push(event);
    }
    if (events.length > 0) this.#sendHead();
    this.#call.sendEvents(events);
    return !this.#splitter.isTooLong;
  }

  /** How far the stream of the current attempt has come. */
  get progress(): StreamProgress {
    return {
      hasEvents: this.#hasEvents,
      isAtEventEnd: this.#splitter.isEmpty,
    };
  }

  /** Sends the head of a stream that is complete without any event. */
  complete(): void {
    this.#sendHead();
  }

  /** Starts the caller's answer, unless an earlier attempt has started it. */
  #sendHead(): void {
    const head = this.#waitingHead;
    this.#waitingHead = undefined;
    if (head === undefined || this.#call.hasStartedAnswer) return;
    this.#call.startAnswer(head.status, dropHopHeaders(head.headers));
  }

  /** True if the event was already sent: event ids increase within a stream. */
  #isDuplicate(id: string): boolean {
    return this.#lastId !== "" && Number(id) <= Number(this.#lastId);
  }
}

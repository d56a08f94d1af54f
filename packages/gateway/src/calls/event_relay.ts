/** Relays the events of a stream to the caller and collects their data. */

import type { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { ByteCollector } from "@mallowlift/core";
import type { AnswerHead } from "../dialect.ts";
import {
  EventSplitter,
  readEventData,
  readEventId,
} from "../http/event_splitter.ts";
import { dropHopHeaders } from "../http/headers.ts";
import type { ByteReservation } from "../memory/byte_account.ts";
import type { StreamProgress } from "../upstreams/answer_framing.ts";
import type { OpenCall } from "./open_call.ts";
import type { EventSink } from "./attempt.ts";
import type { TurnObserver } from "./turn_observer.ts";

/** Largest output of a turn whose history is kept, bytes: the default size of an internal frame. */
const MAX_HISTORY_BYTES = 16_777_216;

/**
 * Relays only complete events, so that the caller never receives a truncated
 * one. A stream that resumes at another upstream keeps the head of the first
 * answer, and events that were already sent are skipped.
 */
export class EventRelay implements EventSink {
  readonly #call: OpenCall;
  readonly #observer: TurnObserver | undefined;
  readonly #room: ByteReservation | undefined;
  readonly #splitter = new EventSplitter();
  readonly #data = new ByteCollector();
  readonly #maxEvents: number;
  /** Head of an answer whose first event has not arrived yet. */
  #waitingHead: AnswerHead | undefined;
  #eventCount = 0;
  /** True if the stream of the current attempt has had an event with data. */
  #hasEvents = false;
  #lastId = "";
  #lacksRoom = false;

  /** With a reservation, the data of the events is kept as far as there is room. */
  constructor(
    call: OpenCall,
    options: {
      readonly observer?: TurnObserver | undefined;
      readonly room?: ByteReservation | undefined;
    } = {},
  ) {
    this.#call = call;
    this.#observer = options.observer;
    this.#room = options.room;
    this.#maxEvents = findMaxEvents(call);
  }

  /** Number of events with data that were sent to the caller. */
  get count(): number {
    return this.#eventCount;
  }

  /** Id of the last event that was sent to the caller; empty if there is none. */
  get lastId(): string {
    return this.#lastId;
  }

  /** True if the stream cannot go on, because there is no room for its output. */
  get lacksRoom(): boolean {
    return this.#lacksRoom;
  }

  /** True if no event with data was sent yet, or an event with an id was. */
  get canResume(): boolean {
    return !this.#lacksRoom && (this.#eventCount === 0 || this.#lastId !== "");
  }

  /**
   * The data of all events, each followed by a line feed; empty if the route
   * keeps no history.
   */
  joinData(): Buffer {
    return this.#data.bytes;
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

  /**
   * Sends all complete events; false if an event is too long, or if the stream
   * exceeds the tokens that are reserved for it or the history that can be kept.
   */
  push(bytes: Buffer): boolean {
    const events: Buffer[] = [];
    let isTooLong = false;
    for (const event of this.#splitter.push(bytes)) {
      const data = readEventData(event);
      if (data.length > 0) this.#hasEvents = true;
      const id = readEventId(event);
      if (id !== undefined && this.#isDuplicate(id)) continue;
      if (data.length > 0 && this.#eventCount >= this.#maxEvents) {
        isTooLong = true;
        break;
      }
      if (!this.#tryKeep(data)) break;
      if (id !== undefined) this.#lastId = id;
      if (data.length > 0) {
        this.#eventCount++;
        this.#observer?.recordEvent(performance.now());
      }
      events.push(event);
    }
    if (events.length > 0) this.#sendHead();
    this.#call.sendEvents(events);
    return !isTooLong && !this.#lacksRoom && !this.#splitter.isTooLong &&
      this.#data.length <= MAX_HISTORY_BYTES;
  }

  /** False if there is no room for more of the output. */
  #tryKeep(data: Buffer): boolean {
    if (this.#room === undefined) return true;
    const capacity = this.#data.findCapacity(data.length);
    const hasRoom = capacity <= this.#room.bytes ||
      this.#room.tryResize(capacity);
    this.#lacksRoom = !hasRoom;
    if (!this.#lacksRoom) this.#data.push(data);
    return !this.#lacksRoom;
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

/**
 * Events that the tokens reserved for a call with a budget allow; Infinity if
 * none are reserved. Only the reserved tokens are certain to be within the
 * budget of the program.
 */
function findMaxEvents(call: OpenCall): number {
  const { facts, table, service } = call.parts;
  if (facts.tokenBudget < 0 || facts.mostTokens <= 0) return Infinity;
  const tokensPerEvent = table.findService(service)?.tokensPerEvent ?? 1;
  return Math.ceil(facts.mostTokens / tokensPerEvent);
}

/**
 * Publishes the attempts and the end of a call to the entries that wait for it.
 */

import {
  createDeferred,
  type Deferred,
  type Outcome,
  type RunCallEvent,
  type RunCallReply,
  waitWithTimeout,
} from "@mallowlift/core";

/**
 * How long to wait for an entry to report the text that its caller received.
 */
const DELIVERED_TEXT_TIMEOUT_MILLISECONDS = 300;

/** An entry that waits for the end of a call. */
export interface CallListener {
  /** True if the entry streams text to the caller before the call ends. */
  readonly stream: boolean;
  readonly signal: AbortSignal;
  sendChunk(event: RunCallEvent): void;
}

/** The entries that wait for one call. */
export class CallListeners {
  readonly #listeners = new Set<CallListener>();
  readonly #end: Deferred<Outcome<RunCallReply>> = createDeferred<
    Outcome<RunCallReply>
  >();
  #latestEvent: RunCallEvent | undefined;
  #deliveredText: Deferred<string> = createDeferred<string>();

  /** Resolves with the end of the call. */
  get end(): Promise<Outcome<RunCallReply>> {
    return this.#end.promise;
  }

  /** Adds an entry and sends it the latest event, if there is one. */
  add(listener: CallListener): void {
    this.#listeners.add(listener);
    listener.signal.addEventListener(
      "abort",
      () => this.#listeners.delete(listener),
    );
    if (this.#latestEvent !== undefined) listener.sendChunk(this.#latestEvent);
  }

  /** Sends an event about an attempt to all entries. */
  publish(event: RunCallEvent): void {
    this.#latestEvent = event;
    for (const listener of this.#listeners) listener.sendChunk(event);
  }

  /** Stores the text that a caller received from a lost attempt. */
  setDeliveredText(text: string): void {
    this.#deliveredText.resolve(text);
  }

  /**
   * Informs the entries that an attempt was lost and returns the text that the
   * caller had already received, so that the next attempt can continue it.
   * Returns an empty text if no entry streams or none replies in time.
   */
  async collectDeliveredText(event: RunCallEvent): Promise<string> {
    this.#deliveredText = createDeferred<string>();
    this.publish(event);
    const streaming = [...this.#listeners].some((listener) => listener.stream);
    if (!streaming) return "";
    return await waitWithTimeout(
      this.#deliveredText.promise,
      DELIVERED_TEXT_TIMEOUT_MILLISECONDS,
    ) ?? "";
  }

  /** Publishes the end of the call to all entries. */
  finish(outcome: Outcome<RunCallReply>): void {
    this.#end.resolve(outcome);
  }
}

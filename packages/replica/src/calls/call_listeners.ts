/** Entries that wait for a call, and what they are told. */

import {
  createDeferred,
  type Deferred,
  type Outcome,
  type RunCallEvent,
  type RunCallReply,
  waitAtMost,
} from "@mallowlift/core";

const TOLD_MILLISECONDS = 300;

/** One entry that waits for the end of a call. */
export interface CallListener {
  /** True if the entry tells the caller text before the end. */
  readonly stream: boolean;
  readonly signal: AbortSignal;
  sendChunk(event: RunCallEvent): void;
}

/** Tells every waiting entry about the attempts and the end of one call. */
export class CallListeners {
  readonly #listeners = new Set<CallListener>();
  readonly #end: Deferred<Outcome<RunCallReply>> = createDeferred<
    Outcome<RunCallReply>
  >();
  #latest: RunCallEvent | undefined;
  #told: Deferred<string> = createDeferred<string>();

  /** Resolves with the end of the call. */
  get end(): Promise<Outcome<RunCallReply>> {
    return this.#end.promise;
  }

  /** Adds an entry; it hears of the present attempt at once. */
  add(listener: CallListener): void {
    this.#listeners.add(listener);
    listener.signal.addEventListener(
      "abort",
      () => this.#listeners.delete(listener),
    );
    if (this.#latest !== undefined) listener.sendChunk(this.#latest);
  }

  /** Tells all entries about an attempt. */
  tell(event: RunCallEvent): void {
    this.#latest = event;
    for (const listener of this.#listeners) listener.sendChunk(event);
  }

  /** Takes the text that a caller was told of a lost attempt. */
  takeTold(text: string): void {
    this.#told.resolve(text);
  }

  /**
   * Tells the entries that an attempt is lost and asks for the text that was
   * told, so that the next attempt can continue it.
   */
  async collectTold(event: RunCallEvent): Promise<string> {
    this.#told = createDeferred<string>();
    this.tell(event);
    const streaming = [...this.#listeners].some((listener) => listener.stream);
    if (!streaming) return "";
    return await waitAtMost(this.#told.promise, TOLD_MILLISECONDS) ?? "";
  }

  /** Ends the call for all entries. */
  finish(outcome: Outcome<RunCallReply>): void {
    this.#end.resolve(outcome);
  }
}

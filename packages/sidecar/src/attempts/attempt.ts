/** One attempt at a sidecar, from its arrival until its answer is forgotten. */

import {
  ABORTED,
  type Answer,
  createDeferred,
  type Deferred,
  type DispatchRequest,
  type Outcome,
  WakeSignal,
} from "@mallowlift/core";

/** An attempt, its text so far and its end. */
export class Attempt {
  readonly request: DispatchRequest;
  readonly arrivedAt: number;
  readonly #cancelled = new AbortController();
  readonly #done: Deferred<Outcome<Answer>> = createDeferred<Outcome<Answer>>();
  readonly #grown = new WakeSignal();
  /** Text that the caller may be told. */
  text: string;
  outcome: Outcome<Answer> | undefined;
  endedAt = Infinity;

  constructor(request: DispatchRequest, now: number) {
    this.request = request;
    this.arrivedAt = now;
    this.text = request.told;
  }

  /** Aborts when the attempt is cancelled. */
  get signal(): AbortSignal {
    return this.#cancelled.signal;
  }

  /** Resolves with the end of the attempt. */
  get done(): Promise<Outcome<Answer>> {
    return this.#done.promise;
  }

  /** Takes more text from the upstream. */
  addText(text: string): void {
    this.text += text;
    this.#grown.wake();
  }

  /** Waits until there is more text or an end. */
  async waitForGrowth(limitMilliseconds: number): Promise<void> {
    await this.#grown.wait(limitMilliseconds);
  }

  /** Cancels the attempt; it still ends by itself. */
  cancel(): void {
    this.#cancelled.abort(ABORTED);
  }

  /** Records the end. */
  end(outcome: Outcome<Answer>, now: number): void {
    this.outcome = outcome;
    this.endedAt = now;
    this.#done.resolve(outcome);
    this.#grown.wake();
  }
}

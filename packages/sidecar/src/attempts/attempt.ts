/** State of one attempt at a sidecar, from its arrival until it is evicted. */

import {
  ABORTED,
  type Answer,
  createDeferred,
  type Deferred,
  type DispatchRequest,
  type Outcome,
  WakeSignal,
} from "@mallowlift/core";

/** An attempt with the text received so far and, once it ended, its outcome. */
export class Attempt {
  readonly request: DispatchRequest;
  readonly arrivedAt: number;
  readonly #cancellation = new AbortController();
  readonly #done: Deferred<Outcome<Answer>> = createDeferred<Outcome<Answer>>();
  readonly #progress = new WakeSignal();
  /** Text that may be sent to the caller. */
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
    return this.#cancellation.signal;
  }

  /** Resolves with the outcome when the attempt ends. */
  get done(): Promise<Outcome<Answer>> {
    return this.#done.promise;
  }

  /** Appends text from the upstream and wakes the waiters. */
  appendText(text: string): void {
    this.text += text;
    this.#progress.wake();
  }

  /** Waits until text is appended, the attempt ends or the timeout passes. */
  async waitForProgress(timeoutMilliseconds: number): Promise<void> {
    await this.#progress.wait(timeoutMilliseconds);
  }

  /** Requests cancellation; the attempt ends later, when its run returns. */
  cancel(): void {
    this.#cancellation.abort(ABORTED);
  }

  /** Records the outcome and the time at which the attempt ended. */
  end(outcome: Outcome<Answer>, now: number): void {
    this.outcome = outcome;
    this.endedAt = now;
    this.#done.resolve(outcome);
    this.#progress.wake();
  }
}

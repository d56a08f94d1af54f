/** State of one attempt at a sidecar, from its arrival until it is evicted. */

import {
  ABORTED,
  type Answer,
  createDeferred,
  type Deferred,
  type DispatchRequest,
  fail,
  isIdempotent,
  type Outcome,
  RESULT_CODES,
  WakeSignal,
} from "@mallowlift/core";

/** An attempt with the text received so far and, once it ended, its outcome. */
export class Attempt {
  /** The request; its content is released when the attempt ends. */
  request: DispatchRequest;
  readonly arrivedAt: number;
  readonly #cancellation = new AbortController();
  readonly #release = new AbortController();
  #done: Deferred<Outcome<Answer>> = createDeferred<Outcome<Answer>>();
  readonly #progress = new WakeSignal();
  /** Text that may be sent to the caller. */
  text: string;
  /** True once the attempt has a slot, so that it may run at the upstream. */
  isStarted = false;
  /** True if a stop of the sidecar ends the attempt. */
  isStopped = false;
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

  /** Aborts when the attempt must leave the queue, by a cancellation or a stop. */
  get queueSignal(): AbortSignal {
    return this.#release.signal;
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
    this.#release.abort(ABORTED);
  }

  /** Removes the attempt from the queue; one that runs goes on. */
  release(): void {
    this.#release.abort(ABORTED);
  }

  /** Records the outcome and the time at which the attempt ended. */
  end(outcome: Outcome<Answer>, now: number): void {
    this.outcome = outcome;
    this.endedAt = now;
    this.#done.resolve(outcome);
    this.#progress.wake();
    const { body } = this.request;
    this.request = {
      ...this.request,
      told: "",
      prompt: [],
      body: body.kind === "model"
        ? { ...body, messages: [] }
        : { ...body, payload: "" },
    };
  }

  /**
   * Discards the answer of an attempt that has ended. Who asks for it later
   * learns that the attempt may have run, and never that it did not.
   */
  discardAnswer(): void {
    const failure = fail(
      isIdempotent(this.request.body)
        ? RESULT_CODES.UPSTREAM_ERROR
        : RESULT_CODES.OUTCOME_UNKNOWN,
      "The sidecar no longer keeps the answer",
    );
    if (this.outcome?.ok === true) this.outcome = failure;
    this.text = "";
    this.#done = createDeferred<Outcome<Answer>>();
    this.#done.resolve(this.outcome ?? failure);
  }
}

/**
 * Follows the text of a streamed call across its attempts and delivers it to
 * one caller without gaps or repetitions.
 */

import { ABORTED } from "@mallowlift/core";
import type { AttemptKey, DeliveredText, RunCallEvent } from "@mallowlift/core";
import type { PeerClient } from "@mallowlift/transport";

const ATTACH_TIMEOUT_MILLISECONDS = 2_000_000_000;
const REPORT_TIMEOUT_MILLISECONDS = 1_000;

/** Options of a {@linkcode StreamFollower}. */
export interface StreamFollowerOptions {
  readonly findSidecar: (address: string) => PeerClient;
  /**
   * Reports the text that the caller has received to the owner of the program,
   * so that the next attempt can continue it.
   */
  readonly reportDeliveredText: (text: DeliveredText) => Promise<unknown>;
  /** Sends further text to the caller. */
  readonly onText: (text: string) => void;
  readonly signal: AbortSignal;
}

/** Attaches to one attempt after another and delivers only new text. */
export class StreamFollower {
  readonly #options: StreamFollowerOptions;
  #delivered = "";
  #attempt: AttemptKey | undefined;
  #attachment = new AbortController();

  constructor(options: StreamFollowerOptions) {
    this.#options = options;
  }

  /** Text that has been sent to the caller so far. */
  get told(): string {
    return this.#delivered;
  }

  /**
   * Handles an event from the owner of the program: attaches to an attempt that
   * was dispatched, or reports the delivered text when an attempt was lost.
   */
  handleEvent(event: RunCallEvent): void {
    if (event.event === "dispatched") return void this.#attach(event);
    this.#attachment.abort(ABORTED);
    const { programId, requestId, attempt } = event.attempt;
    const delivered = {
      programId,
      requestId,
      attempt,
      text: this.#delivered,
    };
    void this.#options.reportDeliveredText(delivered);
  }

  /**
   * Delivers the rest of the complete answer.
   *
   * @returns false if the answer does not begin with the text already delivered
   */
  finish(text: string): boolean {
    this.#attachment.abort(ABORTED);
    if (!text.startsWith(this.#delivered)) return false;
    this.#deliver(text.slice(this.#delivered.length));
    return true;
  }

  async #attach(event: RunCallEvent): Promise<void> {
    if (
      this.#attempt !== undefined && isSameAttempt(this.#attempt, event.attempt)
    ) return;
    this.#attempt = event.attempt;
    this.#attachment.abort(ABORTED);
    const attachment = new AbortController();
    this.#attachment = attachment;
    const { signal } = attachment;
    const detach = () => attachment.abort(ABORTED);
    this.#options.signal.addEventListener("abort", detach, { once: true });
    const request = { key: event.attempt, offset: this.#delivered.length };
    await this.#options.findSidecar(event.address).call(
      "attempts.attach",
      request,
      {
        timeoutMilliseconds: ATTACH_TIMEOUT_MILLISECONDS,
        signal,
        onChunk: (chunk) => {
          if (signal.aborted || chunk.offset > this.#delivered.length) return;
          this.#deliver(
            chunk.text.slice(this.#delivered.length - chunk.offset),
          );
        },
      },
    );
    this.#options.signal.removeEventListener("abort", detach);
    if (this.#attempt === event.attempt) this.#attempt = undefined;
  }

  #deliver(text: string): void {
    if (text === "") return;
    this.#delivered += text;
    this.#options.onText(text);
  }
}

/** Timeout for reporting the delivered text to an owner, ms. */
export const DELIVERY_REPORT_TIMEOUT_MILLISECONDS = REPORT_TIMEOUT_MILLISECONDS;

function isSameAttempt(left: AttemptKey, right: AttemptKey): boolean {
  return left.attempt === right.attempt &&
    left.requestId === right.requestId && left.acceptance === right.acceptance;
}

/** Follows the text of a call over all its attempts, for one caller. */

import { ABORTED } from "@mallowlift/core";
import type { AttemptKey, RunCallEvent, ToldText } from "@mallowlift/core";
import type { Caller } from "@mallowlift/transport";

const ATTACH_MILLISECONDS = 2_000_000_000;
const TOLD_MILLISECONDS = 1_000;

/** What a follower needs. */
export interface FollowStreamOptions {
  readonly findSidecar: (address: string) => Caller;
  /** Sends the told text to the owner of the program. */
  readonly sendTold: (told: ToldText) => Promise<unknown>;
  /** Tells the caller more text. */
  readonly onText: (text: string) => void;
  readonly signal: AbortSignal;
}

/** Attaches to each attempt in turn and tells the caller only what is new. */
export class StreamFollower {
  readonly #options: FollowStreamOptions;
  #told = "";
  #attempt: AttemptKey | undefined;
  #attached = new AbortController();

  constructor(options: FollowStreamOptions) {
    this.#options = options;
  }

  /** Text that the caller has been told. */
  get told(): string {
    return this.#told;
  }

  /** Takes an event of the owner. */
  takeEvent(event: RunCallEvent): void {
    if (event.event === "dispatched") return void this.#attach(event);
    this.#attached.abort(ABORTED);
    const { programId, requestId, attempt } = event.attempt;
    const told = { programId, requestId, attempt, text: this.#told };
    void this.#options.sendTold(told);
  }

  /**
   * Tells the rest of a whole answer.
   *
   * @returns false if the answer does not begin with what was told
   */
  finish(text: string): boolean {
    this.#attached.abort(ABORTED);
    if (!text.startsWith(this.#told)) return false;
    this.#tell(text.slice(this.#told.length));
    return true;
  }

  async #attach(event: RunCallEvent): Promise<void> {
    if (
      this.#attempt !== undefined && isSameAttempt(this.#attempt, event.attempt)
    ) return;
    this.#attempt = event.attempt;
    this.#attached.abort(ABORTED);
    const attached = new AbortController();
    this.#attached = attached;
    const { signal } = attached;
    const leave = () => attached.abort(ABORTED);
    this.#options.signal.addEventListener("abort", leave, { once: true });
    const request = { key: event.attempt, offset: this.#told.length };
    await this.#options.findSidecar(event.address).call(
      "attempts.attach",
      request,
      {
        timeoutMilliseconds: ATTACH_MILLISECONDS,
        signal,
        onChunk: (chunk) => {
          if (signal.aborted || chunk.offset > this.#told.length) return;
          this.#tell(chunk.text.slice(this.#told.length - chunk.offset));
        },
      },
    );
    this.#options.signal.removeEventListener("abort", leave);
    if (this.#attempt === event.attempt) this.#attempt = undefined;
  }

  #tell(text: string): void {
    if (text === "") return;
    this.#told += text;
    this.#options.onText(text);
  }
}

/** Longest time that telling an owner may take. */
export const TELL_LIMIT_MILLISECONDS = TOLD_MILLISECONDS;

function isSameAttempt(left: AttemptKey, right: AttemptKey): boolean {
  return left.attempt === right.attempt && left.requestId === right.requestId;
}

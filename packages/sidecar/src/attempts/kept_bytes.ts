/** Bounds the memory of the requests and answers that a sidecar holds. */

import { Buffer } from "node:buffer";
import {
  type Answer,
  type DispatchRequest,
  isIdempotent,
  type Metrics,
  type Outcome,
} from "@mallowlift/core";
import type { Attempt } from "./attempt.ts";

/** Options of {@linkcode KeptBytes}. */
export interface KeptBytesOptions {
  readonly totalBytes: number;
  readonly metrics: Metrics;
}

/**
 * Counts the bytes of all attempts. Over the limit, it discards the answers of
 * finished attempts, the oldest first and those of idempotent calls before
 * others. The attempts stay known, so that none runs again as if it never had.
 */
export class KeptBytes {
  readonly #options: KeptBytesOptions;
  readonly #sizes = new Map<Attempt, number>();
  readonly #finishedIdempotent = new Set<Attempt>();
  readonly #finishedOther = new Set<Attempt>();
  #heldBytes = 0;
  #finishedBytes = 0;

  constructor(options: KeptBytesOptions) {
    this.#options = options;
  }

  /** Bytes that are held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Returns true if a request fits beside the attempts that have not ended. */
  hasRoom(request: DispatchRequest): boolean {
    const pendingBytes = this.#heldBytes - this.#finishedBytes;
    return pendingBytes === 0 ||
      pendingBytes + countRequestBytes(request) <= this.#options.totalBytes;
  }

  /** Adds an attempt with its request. */
  start(attempt: Attempt): void {
    this.#add(attempt, countRequestBytes(attempt.request));
  }

  /** Adds text that an attempt received. */
  addText(attempt: Attempt, text: string): void {
    this.#add(attempt, Buffer.byteLength(text));
  }

  /** Replaces the bytes of an attempt by those that are kept after its end. */
  finish(attempt: Attempt): void {
    this.#remove(attempt);
    const bytes = countAnswerBytes(attempt.text, attempt.outcome);
    this.#finishedBytes += bytes;
    const isRepeatable = isIdempotent(attempt.request.body);
    (isRepeatable ? this.#finishedIdempotent : this.#finishedOther)
      .add(attempt);
    this.#add(attempt, bytes);
  }

  /** Removes an attempt that has expired. */
  remove(attempt: Attempt): void {
    if (this.#removeFinished(attempt)) {
      this.#finishedBytes -= this.#sizes.get(attempt) ?? 0;
    }
    this.#remove(attempt);
    this.#report();
  }

  #add(attempt: Attempt, bytes: number): void {
    this.#sizes.set(attempt, (this.#sizes.get(attempt) ?? 0) + bytes);
    this.#heldBytes += bytes;
    while (this.#heldBytes > this.#options.totalBytes) {
      const [oldest] = this.#finishedIdempotent.size > 0
        ? this.#finishedIdempotent
        : this.#finishedOther;
      if (oldest === undefined) break;
      this.remove(oldest);
      oldest.discardAnswer();
      const { kind } = oldest.request.body;
      this.#options.metrics.discardedAnswers.inc({ kind });
    }
    this.#report();
  }

  #remove(attempt: Attempt): void {
    this.#heldBytes -= this.#sizes.get(attempt) ?? 0;
    this.#sizes.delete(attempt);
  }

  #removeFinished(attempt: Attempt): boolean {
    return this.#finishedIdempotent.delete(attempt) ||
      this.#finishedOther.delete(attempt);
  }

  #report(): void {
    const part = "sidecar";
    this.#options.metrics.heldBytes.set({ part }, this.#heldBytes);
  }
}

function countRequestBytes(request: DispatchRequest): number {
  const { body, prompt, told } = request;
  let bytes = Buffer.byteLength(told);
  for (const message of prompt) bytes += Buffer.byteLength(message.content);
  if (body.kind === "service") return bytes + Buffer.byteLength(body.payload);
  for (const message of body.messages) {
    bytes += Buffer.byteLength(message.content);
  }
  return bytes;
}

function countAnswerBytes(
  text: string,
  outcome: Outcome<Answer> | undefined,
): number {
  const answer = outcome?.ok === true ? outcome.val.text : "";
  return Buffer.byteLength(text) + Buffer.byteLength(answer);
}

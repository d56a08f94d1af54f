/** Streams a large answer from an upstream to the caller. */

import type { Buffer } from "node:buffer";
import type { AnswerHead } from "../dialect.ts";
import {
  ANSWER_FRAMINGS,
  type AnswerFraming,
} from "../upstreams/answer_framing.ts";
import { dropHopHeaders, findHeader } from "../http/headers.ts";
import type { OpenCall } from "./open_call.ts";
import type { BodySink } from "./attempt.ts";

const DIGITS = /^\d+$/;

/** Relays the body of one answer as it arrives. */
export class BodyRelay implements BodySink {
  readonly #call: OpenCall;

  constructor(call: OpenCall) {
    this.#call = call;
  }

  /**
   * Starts the caller's answer, with its length if the upstream sent one, and
   * without framing if the upstream's answer has none.
   */
  start(head: AnswerHead, framing: AnswerFraming): boolean {
    if (this.#call.hasStartedAnswer) return false;
    if (framing === ANSWER_FRAMINGS.CONNECTION_END) this.#call.omitFraming();
    const length = findHeader(head.headers, "content-length") ?? "";
    const headers = dropHopHeaders(head.headers);
    if (DIGITS.test(length)) headers.push("Content-Length", length);
    this.#call.startAnswer(head.status, headers);
    return true;
  }

  /** Sends bytes to the caller. */
  push(bytes: Buffer): void {
    this.#call.sendPart(bytes);
  }
}

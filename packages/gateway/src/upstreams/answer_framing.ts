/**
 * Decides where the body of an upstream's answer ends, by the rules of HTTP
 * (RFC 9112, section 6.3).
 */

import type { AnswerHead } from "../dialect.ts";
import { findHeader } from "../http/headers.ts";

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** What marks the end of an answer. */
export const ANSWER_FRAMINGS = {
  /** The answer has no body, so its head is all of it. */
  NO_BODY: "no_body",
  /** A Content-Length. */
  LENGTH: "length",
  /** The last chunk of a chunked body. */
  LAST_CHUNK: "last_chunk",
  /** The orderly end of the connection, which a crash may cause as well. */
  CONNECTION_END: "connection_end",
} as const;

/** One of {@linkcode ANSWER_FRAMINGS}. */
export type AnswerFraming =
  typeof ANSWER_FRAMINGS[keyof typeof ANSWER_FRAMINGS];

/** What arrived of an answer. */
export interface ReceivedAnswer {
  readonly framing: AnswerFraming;
  /** Bytes of the body that arrived. */
  readonly bytes: number;
}

/** How far a stream of events has come. */
export interface StreamProgress {
  /** True if the stream has had an event with data. */
  readonly hasEvents: boolean;
  /** True if no event is incomplete. */
  readonly isAtEventEnd: boolean;
}

/**
 * Returns why a stream whose framing is complete has been broken off; undefined
 * if it is complete. A crash ends a connection in the same way as an upstream
 * that marks the end of its stream by it, and may come before the first event.
 *
 * @example
 * ```ts
 * const progress = { hasEvents: false, isAtEventEnd: true };
 * findTruncation("last_chunk", progress); // undefined
 * findTruncation("connection_end", progress); // "The connection ended before ..."
 * ```
 */
export function findTruncation(
  framing: AnswerFraming,
  progress: StreamProgress,
): string | undefined {
  if (!progress.isAtEventEnd) return "The stream ended inside an event";
  if (framing !== ANSWER_FRAMINGS.CONNECTION_END) return undefined;
  if (progress.hasEvents) return undefined;
  return "The connection ended before the first event";
}

/**
 * Returns what marks the end of an answer; the head must have valid framing.
 *
 * @example
 * ```ts
 * findFraming({ status: 200, headers: ["Content-Length", "4"] }, "GET"); // "length"
 * findFraming({ status: 200, headers: [] }, "GET"); // "connection_end"
 * ```
 */
export function findFraming(head: AnswerHead, method: string): AnswerFraming {
  const hasNoBody = method === "HEAD" || STATUSES_WITHOUT_BODY.has(head.status);
  if (hasNoBody) return ANSWER_FRAMINGS.NO_BODY;
  if (findHeader(head.headers, "transfer-encoding") !== undefined) {
    return ANSWER_FRAMINGS.LAST_CHUNK;
  }
  if (findHeader(head.headers, "content-length") !== undefined) {
    return ANSWER_FRAMINGS.LENGTH;
  }
  return ANSWER_FRAMINGS.CONNECTION_END;
}

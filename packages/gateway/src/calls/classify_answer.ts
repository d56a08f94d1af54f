/** Decides whether an answer belongs to a request and whether it is a refusal. */

import { type CodedError, RESULT_CODES } from "@mallowlift/core";
import type { AnswerFacts } from "../dialect.ts";
import type { AnswerMatch } from "../upstreams/upstream_connection.ts";

const MIN_SERVER_ERROR_STATUS = 500;

/** True if the status is a server error (5xx). */
export function isServerError(status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS;
}

/** What the head of an answer means for the pending request. */
export interface AnswerClassification {
  readonly match: AnswerMatch;
  /** Set if the upstream guarantees that it did not run the request. */
  readonly notRun?: CodedError;
}

/**
 * Classifies the head of an answer. The call id is checked first, because a
 * late refusal of an earlier request says nothing about this one.
 *
 * @example
 * ```ts
 * classifyAnswer(dialect.readAnswer(head), "call-1").match; // "own"
 * ```
 */
export function classifyAnswer(
  facts: AnswerFacts,
  callId: string,
): AnswerClassification {
  const hasCallId = facts.callId !== undefined;
  if (hasCallId && facts.callId !== callId) return { match: "other" };
  if (facts.isWrongInstance) {
    const message = "The address now belongs to another instance";
    const notRun = { code: RESULT_CODES.NO_UPSTREAM, message };
    return { match: "own", notRun };
  }
  if (facts.notRun) {
    const message = "The upstream is at capacity";
    const notRun = { code: RESULT_CODES.QUEUE_FULL, message };
    return { match: "own", notRun };
  }
  return { match: hasCallId && facts.isGenuine ? "own" : "spoiled" };
}

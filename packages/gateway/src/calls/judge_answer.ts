/** Judges whether the head of an answer belongs to a request, and what it says. */

import { type CodedError, RESULT_CODES } from "@mallowlift/core";
import type { AnswerFacts } from "../dialect.ts";
import type { Belonging } from "../upstreams/upstream_connection.ts";

const FIRST_SERVER_ERROR = 500;

/** True if the status says that the upstream itself failed. */
export function isServerFailure(status: number): boolean {
  return status >= FIRST_SERVER_ERROR;
}

/** What the head of an answer means for the request that waits. */
export interface Judgement {
  readonly belonging: Belonging;
  /** Set if the upstream promises that it did not run the request. */
  readonly notRun?: CodedError;
}

/**
 * Judges the head of an answer. The id comes first: a late refusal of another
 * request must not pass for a promise about this one.
 *
 * @example
 * ```ts
 * judgeAnswer(dialect.readAnswer(head), "call-1").belonging; // "own"
 * ```
 */
export function judgeAnswer(facts: AnswerFacts, callId: string): Judgement {
  const isNamed = facts.callId !== undefined;
  if (isNamed && facts.callId !== callId) return { belonging: "other" };
  if (facts.isOtherInstance) {
    const message = "Another instance has the address";
    const notRun = { code: RESULT_CODES.NO_UPSTREAM, message };
    return { belonging: "own", notRun };
  }
  if (facts.notRun) {
    const message = "The upstream is full";
    const notRun = { code: RESULT_CODES.QUEUE_FULL, message };
    return { belonging: "own", notRun };
  }
  return { belonging: isNamed && facts.isGenuine ? "own" : "spoiled" };
}

/** The possible ends of an attempt, as its owner sees them. */

import type { Answer, CodedError } from "@mallowlift/core";

/** The attempt ended with an answer of the upstream. */
export interface AnsweredAttempt {
  readonly kind: "answered";
  readonly answer: Answer;
}

/** The attempt did not run and is guaranteed not to run later. */
export interface NeverRanAttempt {
  readonly kind: "never_ran";
  readonly error: CodedError;
}

/** The attempt may have run, completely or in part. */
export interface LostAttempt {
  readonly kind: "lost";
  readonly error: CodedError;
}

/** The end of one attempt. */
export type AttemptEnd = AnsweredAttempt | NeverRanAttempt | LostAttempt;

/** Creates the end of an attempt that never ran. */
export function neverRan(error: CodedError): NeverRanAttempt {
  return { kind: "never_ran", error };
}

/** Creates the end of an attempt that may have run. */
export function lost(error: CodedError): LostAttempt {
  return { kind: "lost", error };
}

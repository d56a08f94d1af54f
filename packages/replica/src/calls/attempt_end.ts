/** How an attempt ended, as its owner sees it. */

import type { Answer, CodedError } from "@mallowlift/core";

/** The upstream answered. */
export interface AnsweredAttempt {
  readonly kind: "answered";
  readonly answer: Answer;
}

/** The attempt did not run and cannot run any more. */
export interface NeverRanAttempt {
  readonly kind: "never_ran";
  readonly error: CodedError;
}

/** The attempt may have run, or has run in part. */
export interface LostAttempt {
  readonly kind: "lost";
  readonly error: CodedError;
}

/** End of one attempt. */
export type AttemptEnd = AnsweredAttempt | NeverRanAttempt | LostAttempt;

/** Makes the end of an attempt that never ran. */
export function neverRan(error: CodedError): NeverRanAttempt {
  return { kind: "never_ran", error };
}

/** Makes the end of an attempt that may have run. */
export function lost(error: CodedError): LostAttempt {
  return { kind: "lost", error };
}

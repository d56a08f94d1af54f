/** Runs a call that no history is kept for. */

import { RESULT_CODES } from "@mallowlift/core";
import { dropHopHeaders } from "../http/headers.ts";
import type { CallFailure, CallParts } from "./call_parts.ts";
import { EventRelay } from "./event_relay.ts";
import type { OpenCall } from "./open_call.ts";
import { sendCall } from "./send_call.ts";

/** When a refused caller should come back, ms: a few short requests later. */
export const COME_BACK_MILLISECONDS = 250;

/** Runs a call and answers its caller. */
export async function runPlainCall(
  call: OpenCall,
  parts: CallParts,
): Promise<void> {
  const events = new EventRelay(call);
  const end = await sendCall(call, parts, {
    body: call.parts.body,
    preferredId: "",
    events: call.parts.route.kind === "stream" ? events : undefined,
  });
  if ("failure" in end) return failCall(call, parts, end.failure);
  if (end.answer.streamed) return call.endAnswer();
  const { head, body } = end.answer;
  call.answer(head.status, dropHopHeaders(head.headers), body);
}

/** Answers that a call has failed; breaks off if part of an answer was sent. */
export function failCall(
  call: OpenCall,
  parts: CallParts,
  failure: CallFailure,
): void {
  const { error, notRun } = failure;
  call.noteFailure(error);
  if (call.hasLeft) return;
  if (call.parts.response.headersSent) return call.breakOff();
  // Only what was never run may be told with a code that promises so.
  const isPromise = error.code.notRun;
  const code = notRun === isPromise
    ? error.code
    : notRun
    ? RESULT_CODES.ATTEMPTS_EXHAUSTED
    : RESULT_CODES.OUTCOME_UNKNOWN;
  call.answerOwn(parts.dialect.writeFailure({
    code,
    message: error.message,
    retryAfterMilliseconds: notRun
      ? error.retryAfterMilliseconds ?? COME_BACK_MILLISECONDS
      : undefined,
  }));
}

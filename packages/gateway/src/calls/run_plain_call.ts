/** Runs a call without a history and answers its caller. */

import { RESULT_CODES } from "@mallowlift/core";
import { dropHopHeaders } from "../http/headers.ts";
import { ANSWER_FRAMINGS } from "../upstreams/answer_framing.ts";
import type { AttemptResult } from "./attempt.ts";
import type { CallDependencies, CallFailure } from "./call_dependencies.ts";
import { EventRelay } from "./event_relay.ts";
import type { OpenCall } from "./open_call.ts";
import { sendCall } from "./send_call.ts";

/** Default retry delay for a refused caller, ms: as long as a few short requests take. */
export const RETRY_AFTER_MILLISECONDS = 250;

/** Runs a call and answers its caller. */
export async function runPlainCall(
  call: OpenCall,
  parts: CallDependencies,
): Promise<void> {
  const events = new EventRelay(call);
  const result = await sendCall(call, parts, {
    body: call.parts.body.bytes,
    preferredId: "",
    events: call.parts.route.kind === "stream" ? events : undefined,
  });
  if ("failure" in result) return failCall(call, parts, result.failure);
  if (result.answer.streamed) return call.endAnswer();
  relayAnswer(call, result.answer);
}

/** Sends an answer that was read to its end. */
export function relayAnswer(
  call: OpenCall,
  answer: AttemptResult & { readonly kind: "whole" },
): void {
  const { head, body, received } = answer;
  if (received?.framing === ANSWER_FRAMINGS.CONNECTION_END) call.omitFraming();
  call.answer(head.status, dropHopHeaders(head.headers), body);
}

/** Sends a failure; destroys the connection if part of an answer was sent. */
export function failCall(
  call: OpenCall,
  parts: Pick<CallDependencies, "dialect">,
  failure: CallFailure,
): void {
  const { error, notRun } = failure;
  // A stop answers the calls that wait for a store.
  if (call.hasEndedAnswer) return;
  call.recordFailure(error);
  if (call.hasCallerLeft) return;
  if (call.parts.response.headersSent) return call.disconnect();
  // A code that guarantees "not run" may be sent only if nothing was run.
  const promisesNotRun = error.code.notRun;
  const code = notRun === promisesNotRun
    ? error.code
    : notRun
    ? RESULT_CODES.ATTEMPTS_EXHAUSTED
    : RESULT_CODES.OUTCOME_UNKNOWN;
  call.answerFromGateway(parts.dialect.writeFailure({
    code,
    message: error.message,
    retryAfterMilliseconds: notRun
      ? error.retryAfterMilliseconds ?? RETRY_AFTER_MILLISECONDS
      : undefined,
  }));
}

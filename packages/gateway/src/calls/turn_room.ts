/** The memory that a turn needs for its prompt and its output. */

import type { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { countRefusal, RESULT_CODES, type TurnRecord } from "@mallowlift/core";
import type { ByteAccount } from "../memory/byte_account.ts";
import { refuseForRoom } from "../memory/refuse_for_room.ts";
import type { TurnOutputs } from "../memory/turn_outputs.ts";
import { findOwner } from "../workspaces/scoped_id.ts";
import type { CallDependencies, CallFailure } from "./call_dependencies.ts";
import type { OpenCall } from "./open_call.ts";
import { joinPrompt, measurePrompt } from "./turn_cache.ts";

/** Dependencies of turns that hold memory. */
export interface TurnRoom extends CallDependencies {
  /** Room for the outputs of turns. */
  readonly outputs: TurnOutputs;
  /** Memory of the bodies and the joined prompts of requests. */
  readonly requests: ByteAccount;
}

/**
 * The history and the input of a turn; undefined if there is no room for a copy.
 * Without a history, the input is the prompt.
 */
export function tryJoinPrompt(
  call: OpenCall,
  chain: readonly TurnRecord[],
): Buffer | undefined {
  const { body } = call.parts;
  if (chain.length === 0) return body.bytes;
  const hasRoom = body.tryExtend(measurePrompt(chain, body.bytes));
  return hasRoom ? joinPrompt(chain, body.bytes) : undefined;
}

/** Refuses a turn for whose joined prompt there is no room. */
export function refusePrompt(
  call: OpenCall,
  parts: TurnRoom,
  chain: readonly TurnRecord[],
): CallFailure {
  const bytes = measurePrompt(chain, call.parts.body.bytes);
  return refuse(call, parts, { account: parts.requests, bytes });
}

/** Refuses a turn that has not begun, because its output might not fit. */
export function refuseOutput(call: OpenCall, parts: TurnRoom): CallFailure {
  const { account, expectedBytes: bytes } = parts.outputs;
  return refuse(call, parts, { account, bytes });
}

/** Logs and counts a turn that was broken off for want of room. */
export function recordFullOutput(call: OpenCall, parts: TurnRoom): void {
  countRefusal(parts.metrics, "answers", RESULT_CODES.REQUESTS_FULL);
  parts.logger.warn("No room for the output of a turn", {
    call: call.parts.facts.callId,
    program: call.parts.facts.programId,
    held_bytes: parts.answers.bytes,
    limit_bytes: parts.answers.maxBytes,
  });
}

function refuse(
  call: OpenCall,
  parts: TurnRoom,
  details: { readonly account: ByteAccount; readonly bytes: number },
): CallFailure {
  const { account, bytes } = details;
  const { facts, table, workspace } = call.parts;
  const owner = findOwner(table.document, workspace);
  const now = performance.now();
  const refused = { callId: facts.callId, owner, bytes, now };
  const error = refuseForRoom({ ...parts, account }, refused);
  countRefusal(parts.metrics, "turns", error.code);
  return { error, notRun: true };
}

/** Refuses requests for whose bytes there is no room. */

import { type CodedError, type Logger, RESULT_CODES } from "@mallowlift/core";
import type { ByteAccount } from "./byte_account.ts";

/** Logs a refusal, and returns its error with the time to come back. */
export function refuseForRoom(
  parts: {
    readonly account: ByteAccount;
    readonly random: () => number;
    readonly logger: Logger;
  },
  refused: {
    readonly callId: string;
    readonly owner: string | undefined;
    /** Bytes that the request asked for. */
    readonly bytes: number;
    readonly now: number;
  },
): CodedError {
  const { account, random, logger } = parts;
  const { callId, owner, bytes, now } = refused;
  const retryAfterMilliseconds = account.planRetry(bytes, { now, random });
  logger.info("No room for a request", {
    call: callId,
    workspace: owner ?? "",
    bytes,
    held_bytes: account.bytes,
    workspace_bytes: owner === undefined ? 0 : account.findOwned(owner),
    limit_bytes: account.maxBytes,
    retry_ms: retryAfterMilliseconds,
  });
  const { REQUESTS_FULL: code } = RESULT_CODES;
  return { code, message: code.meaning, retryAfterMilliseconds };
}

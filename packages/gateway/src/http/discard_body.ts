/** Discards the rest of a body that is not needed, within its limits. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Longest time for which the rest of a body is read, ms. */
const DISCARD_MILLISECONDS = 5_000;

/**
 * Reads and discards what is left of a body, up to a number of bytes and a
 * fixed time; then calls `onEnd`. Closing a connection with unread bytes resets
 * it, and the caller could lose an answer that was sent before.
 */
export function discardBody(
  request: IncomingMessage,
  maxBytes: number,
  onEnd: (isWhole: boolean) => void,
): void {
  if (request.complete || request.destroyed) return onEnd(request.complete);
  let length = 0;
  let hasEnded = false;
  const end = () => {
    if (hasEnded) return;
    hasEnded = true;
    clearTimeout(timer);
    onEnd(request.complete);
  };
  const timer = setTimeout(end, DISCARD_MILLISECONDS);
  request.on("data", (bytes: Buffer) => {
    length += bytes.length;
    if (length > maxBytes) end();
  });
  request.on("end", end).on("close", end).on("error", end);
  request.resume();
}

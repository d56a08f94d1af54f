/** Reads the body of a caller's request, up to a limit. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { fail, type Outcome, RESULT_CODES } from "@mallowlift/core";
import { Ok } from "ts-results";

/**
 * Resolves with the whole body. Fails with `BODY_TOO_LARGE` above the limit, or
 * with `CALLER_LEFT` if the caller disconnects.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Outcome<Buffer>> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let length = 0;
    request.on("data", (bytes: Buffer) => {
      length += bytes.length;
      if (length <= maxBytes) return void parts.push(bytes);
      resolve(
        fail(RESULT_CODES.BODY_TOO_LARGE, RESULT_CODES.BODY_TOO_LARGE.meaning),
      );
    });
    request.on("end", () => resolve(Ok(Buffer.concat(parts))));
    const failWithCallerLeft = () =>
      resolve(fail(RESULT_CODES.CALLER_LEFT, RESULT_CODES.CALLER_LEFT.meaning));
    request.on("error", failWithCallerLeft);
    request.on("close", failWithCallerLeft);
  });
}

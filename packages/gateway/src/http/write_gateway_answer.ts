/** Writes the gateway's own answers. */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { GatewayAnswer } from "../dialect.ts";

/** Writes an answer that the gateway generated itself. */
export function writeGatewayAnswer(
  response: ServerResponse,
  answer: GatewayAnswer,
): void {
  if (response.destroyed || response.headersSent) return;
  const length = String(Buffer.byteLength(answer.body));
  response.writeHead(answer.status, [
    ...answer.headers,
    "Content-Length",
    length,
  ]);
  response.end(answer.body);
}

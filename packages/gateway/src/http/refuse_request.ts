/** Answers a request whose body is not needed. */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { GatewayAnswer } from "../dialect.ts";
import { discardBody } from "./discard_body.ts";
import { writeGatewayAnswer } from "./write_gateway_answer.ts";

/**
 * Sends the whole answer at once, and ends the request when the rest of its
 * body was read and discarded. A connection on which more than `maxBytes` are
 * left, or that sends them too slowly, is closed.
 */
export function refuseRequest(
  request: IncomingMessage,
  response: ServerResponse,
  options: { readonly answer: GatewayAnswer; readonly maxBytes: number },
): void {
  const { answer, maxBytes } = options;
  if (request.complete) return writeGatewayAnswer(response, answer);
  if (response.destroyed || response.headersSent) return;
  const length = String(Buffer.byteLength(answer.body));
  const headers = [...answer.headers, "Content-Length", length];
  response.writeHead(answer.status, headers);
  response.write(answer.body);
  discardBody(request, maxBytes, (isWhole) => {
    if (!isWhole) response.shouldKeepAlive = false;
    response.end();
    if (!isWhole) request.socket.destroySoon();
  });
}

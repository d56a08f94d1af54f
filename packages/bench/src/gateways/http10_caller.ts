/** Calls a gateway by HTTP/1.0, whose answers end with their connection. */

import type { Buffer } from "node:buffer";
import { connect } from "node:net";

/** What a caller of HTTP/1.0 sees of an answer. */
export interface Http10Result {
  /** The answer as it arrived, with its head. */
  readonly text: string;
  /** True if the connection ended in order, which completes the answer. */
  readonly whole: boolean;
}

/** Makes one request on a new connection; never rejects, also if it fails. */
export function callByHttp10(
  url: string,
  call: { readonly callId: string; readonly path: string },
): Promise<Http10Result> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    let text = "";
    let whole = false;
    const socket = connect(Number(port), hostname);
    socket.on("data", (bytes: Buffer) => text += String(bytes));
    socket.on("end", () => whole = true);
    socket.on("error", () => whole = false);
    socket.on("close", () => resolve({ text, whole }));
    socket.write([
      `POST ${call.path} HTTP/1.0`,
      "Host: a.example",
      `X-Call-Id: ${call.callId}`,
      "Content-Length: 0",
      "",
      "",
    ].join("\r\n"));
  });
}

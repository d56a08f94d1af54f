/** Reads the answers on one connection, as a caller of HTTP/1.1 does. */

import type { Buffer } from "node:buffer";

const HEAD_END = "\r\n\r\n";
const LINE_END = "\r\n";
const FIRST_FINAL_STATUS = 200;

/** A whole answer. */
export interface ReadAnswer {
  readonly status: number;
  readonly body: string;
  /** True if the connection takes no further request after it. */
  readonly closes: boolean;
}

interface AnswerBody {
  readonly text: string;
  /** Index behind the body. */
  readonly end: number;
}

/** Reads consecutive answers. */
export class AnswerReader {
  #text = "";

  /** Adds bytes and returns the answers that they complete. */
  push(bytes: Buffer): readonly ReadAnswer[] {
    this.#text += bytes.toString("latin1");
    const answers: ReadAnswer[] = [];
    for (;;) {
      const headEnd = this.#text.indexOf(HEAD_END);
      if (headEnd < 0) return answers;
      const head = this.#text.slice(0, headEnd);
      const status = readStatus(head);
      const body = readBody(head, this.#text, headEnd + HEAD_END.length);
      if (body === undefined) return answers;
      this.#text = this.#text.slice(body.end);
      if (status < FIRST_FINAL_STATUS) continue;
      answers.push({ status, body: body.text, closes: closesAfter(head) });
    }
  }

  /** Returns the answer that the orderly end of the connection completes. */
  end(): ReadAnswer | undefined {
    const headEnd = this.#text.indexOf(HEAD_END);
    const head = this.#text.slice(0, Math.max(0, headEnd));
    if (headEnd < 0 || isFramed(head)) return undefined;
    const body = this.#text.slice(headEnd + HEAD_END.length);
    return { status: readStatus(head), body, closes: true };
  }
}

function readStatus(head: string): number {
  return Number(head.split(" ")[1]);
}

function closesAfter(head: string): boolean {
  return /^connection: close$/im.test(head);
}

function isFramed(head: string): boolean {
  return /^(content-length|transfer-encoding):/im.test(head);
}

/** Reads a body that starts at an index; undefined if its end has not arrived. */
function readBody(
  head: string,
  text: string,
  start: number,
): AnswerBody | undefined {
  if (readStatus(head) < FIRST_FINAL_STATUS) return { text: "", end: start };
  const length = /^content-length: *(\d+)$/im.exec(head)?.[1];
  if (length !== undefined) {
    const end = start + Number(length);
    return text.length < end
      ? undefined
      : { text: text.slice(start, end), end };
  }
  if (!isFramed(head)) return undefined;
  return readChunks(text, start);
}

function readChunks(text: string, start: number): AnswerBody | undefined {
  let body = "";
  let at = start;
  for (;;) {
    const lineEnd = text.indexOf(LINE_END, at);
    if (lineEnd < 0) return undefined;
    const size = parseInt(text.slice(at, lineEnd), 16);
    const chunkStart = lineEnd + LINE_END.length;
    const chunkEnd = chunkStart + size + LINE_END.length;
    if (text.length < chunkEnd) return undefined;
    if (size === 0) return { text: body, end: chunkEnd };
    body += text.slice(chunkStart, chunkStart + size);
    at = chunkEnd;
  }
}

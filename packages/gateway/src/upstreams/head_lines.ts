/**
 * Checks the lines of an answer's head, of which http-parser-js skips or mends
 * invalid ones. A head that lost bytes on the way may have lost its framing.
 */

import type { Buffer } from "node:buffer";

const STATUS_LINE_PATTERN = /^HTTP\/1\.[01] [1-5]\d\d(?: .*)?$/;
const HEADER_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:/;
const CARRIAGE_RETURN = 0x0d;
const TAB = 0x09;
const FIRST_PRINTABLE = 0x20;
const DELETE = 0x7f;
const ANSWER_START = "HTTP/1.";

/** The parts of http-parser-js that read lines. */
export interface LineSource {
  readonly state: string;
  /** The beginning of a line whose rest has not arrived. */
  readonly line: string;
  readonly chunk: Buffer;
  /** Index in the chunk of the first byte that has not been read. */
  readonly offset: number;
  consumeLine(): string | undefined;
}

/**
 * Makes a parser fail on an invalid status line, on a line that is no header, and
 * on a head whose lines end in different ways. Of a folded header, the beginning
 * may belong to another one, so it is rejected too.
 */
export function checkHeadLines(parser: LineSource): void {
  const consumeLine = parser.consumeLine.bind(parser);
  let endsInReturn = false;
  parser.consumeLine = () => {
    const { state, line: begun, offset: start } = parser;
    const line = consumeLine();
    if (line === undefined) return undefined;
    if (state !== "RESPONSE_LINE" && state !== "HEADER") return line;
    const last = parser.offset - 2;
    const hasReturn = last >= start
      ? parser.chunk[last] === CARRIAGE_RETURN
      : begun.endsWith("\r");
    if (state === "RESPONSE_LINE") {
      if (line === "") return line;
      endsInReturn = hasReturn;
    }
    if (hasReturn !== endsInReturn) {
      throw new Error("The lines of the answer's head end in different ways");
    }
    const problem = findLineProblem(state, line);
    if (problem !== undefined) throw new Error(problem);
    return line;
  };
}

function findLineProblem(state: string, line: string): string | undefined {
  if (state === "RESPONSE_LINE") {
    if (STATUS_LINE_PATTERN.test(line)) return undefined;
    return "The status line of the answer is invalid";
  }
  if (line === "") return undefined;
  if (!HEADER_PATTERN.test(line)) {
    return "A line of the answer's head is not a header";
  }
  if (hasControlCharacter(line)) {
    return "A header of the answer has a control character";
  }
  return undefined;
}

function hasControlCharacter(line: string): boolean {
  for (let index = 0; index < line.length; index++) {
    const code = line.charCodeAt(index);
    if (code === DELETE) return true;
    if (code < FIRST_PRINTABLE && code !== TAB) return true;
  }
  return false;
}

/**
 * True if bytes behind an answer are the beginning of another one, or nothing.
 *
 * @example
 * ```ts
 * mayBeginAnswer(Buffer.from("\r\nHTT")); // true
 * mayBeginAnswer(Buffer.from("rest of a body")); // false
 * ```
 */
export function mayBeginAnswer(bytes: Buffer): boolean {
  let start = 0;
  while (bytes[start] === CARRIAGE_RETURN || bytes[start] === 0x0a) start++;
  const begun = bytes.toString("latin1", start, start + ANSWER_START.length);
  return ANSWER_START.startsWith(begun);
}

/** True if a line whose rest has not arrived may become a status line. */
export function mayBecomeStatusLine(begun: string): boolean {
  const start = begun.slice(0, ANSWER_START.length);
  return begun === "\r" || ANSWER_START.startsWith(start);
}

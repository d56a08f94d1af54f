/**
 * Parses the HTTP answers on one connection and rejects invalid framing that
 * http-parser-js accepts.
 */

import type { Buffer } from "node:buffer";
import { HTTPParser } from "http-parser-js";
import type { AnswerHead } from "../dialect.ts";
import { findHeader } from "../http/headers.ts";
import {
  ANSWER_FRAMINGS,
  type AnswerFraming,
  findFraming,
} from "./answer_framing.ts";
import {
  checkHeadLines,
  type LineSource,
  mayBecomeStatusLine,
  mayBeginAnswer,
} from "./head_lines.ts";

const LENGTH_PATTERN = /^\d{1,15}$/;
const FIRST_FINAL_STATUS = 200;
const SWITCHING_PROTOCOLS = 101;
/** Longest line of a chunk's head or of the trailers, bytes. */
const MAX_LINE_BYTES = 16_384;
/** Largest size of the trailers, which are skipped, bytes. */
const MAX_TRAILER_BYTES = 65_536;
/**
 * Bytes besides the body that an answer may have in any case, and in addition
 * for each byte of its body. A chunk needs five bytes or more.
 */
const OVERHEAD_BYTES = 65_536;
const OVERHEAD_PER_BODY_BYTE = 2;
const CHUNK_SIZE_PATTERN = /^([0-9a-fA-F]{1,8})(?:;.*)?$/;

/** Receives the parsed parts of the answers. */
export interface AnswerParserListener {
  /** Called with the head of an answer and what will mark its end. */
  onHead(head: AnswerHead, framing: AnswerFraming): void;
  /** Called with each part of a body. */
  onBody(bytes: Buffer): void;
  /**
   * Called when an answer is complete; `mayReuse` is false if the connection
   * closes after it.
   */
  onComplete(mayReuse: boolean): void;
}

/** The parts of http-parser-js that its types do not declare. */
interface LineParser extends LineSource {
  state: string;
  /** Index in the chunk behind its last byte. */
  readonly end: number;
  /** Bytes that count towards the largest head. */
  headerSize: number;
  body_bytes: number;
  nextRequest(): void;
  BODY_CHUNKHEAD(): void;
  BODY_CHUNKTRAILERS(): void;
}

const CHUNK_STATES: ReadonlySet<string> = new Set([
  "BODY_CHUNKHEAD",
  "BODY_CHUNKEMPTYLINE",
  "BODY_CHUNKTRAILERS",
]);

/**
 * Makes the parser fail on an invalid chunk size, which http-parser-js would
 * read as the end of the body, and skip trailers, which it would collect.
 */
function replaceChunkStates(parser: LineParser): void {
  parser.BODY_CHUNKHEAD = () => {
    const line = parser.consumeLine();
    if (line === undefined) return;
    const size = CHUNK_SIZE_PATTERN.exec(line)?.[1];
    if (size === undefined) throw new Error("Chunk size is not a hex number");
    parser.body_bytes = parseInt(size, 16);
    parser.state = parser.body_bytes === 0
      ? "BODY_CHUNKTRAILERS"
      : "BODY_CHUNK";
  };
  let trailerBytes = 0;
  parser.BODY_CHUNKTRAILERS = () => {
    const line = parser.consumeLine();
    if (line === undefined) return;
    trailerBytes += line.length;
    if (trailerBytes > MAX_TRAILER_BYTES) {
      throw new Error("The trailers are too long");
    }
    if (line !== "") return;
    trailerBytes = 0;
    parser.nextRequest();
  };
}

/**
 * Parses consecutive answers, including those that only the end of the
 * connection completes.
 */
export class AnswerParser {
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE);
  readonly #lines = this.#parser as unknown as LineParser;
  #isInAnswer = false;
  #isInformational = false;
  #isReusable = true;
  #framingError: string | undefined;
  /** Bytes of the current answer, with the interim answers before it. */
  #receivedBytes = 0;
  #bodyBytes = 0;
  /** Method of the request that is answered. */
  requestMethod = "GET";

  constructor(listener: AnswerParserListener) {
    const parser = this.#parser;
    replaceChunkStates(this.#lines);
    checkHeadLines(this.#lines);
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      const headers = info.headers;
      this.#isInAnswer = true;
      this.#isInformational = info.statusCode < FIRST_FINAL_STATUS;
      if (this.#isInformational) {
        this.#framingError ??= findInterimError(info.statusCode, headers);
        return 1;
      }
      this.#isReusable = info.shouldKeepAlive;
      this.#framingError ??= findFramingError(headers);
      // Without valid framing, the bytes may belong to several answers, so
      // the listener gets none of them.
      if (this.#framingError !== undefined) return 1;
      const head = { status: info.statusCode, headers };
      const framing = findFraming(head, this.requestMethod);
      listener.onHead(head, framing);
      return framing === ANSWER_FRAMINGS.NO_BODY ? 1 : 0;
    };
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      this.#bodyBytes += length;
      this.#framingError ??= this.#findSurplus(length);
      if (this.#framingError === undefined) {
        listener.onBody(chunk.subarray(offset, offset + length));
      }
    };
    parser[HTTPParser.kOnMessageComplete] = () => {
      this.#isInAnswer = false;
      if (this.#isInformational || this.#framingError !== undefined) return;
      this.#receivedBytes = 0;
      this.#bodyBytes = 0;
      listener.onComplete(this.#isReusable);
    };
  }

  /** True between the head and the end of an answer. */
  get isInAnswer(): boolean {
    return this.#isInAnswer;
  }

  /** True if bytes of an answer have arrived whose head is not complete. */
  get isInHead(): boolean {
    const { state, line } = this.#lines;
    return !this.#isInAnswer && (line !== "" || state === "HEADER");
  }

  /** Parses bytes; returns a message if they are not a valid answer. */
  push(bytes: Buffer): string | undefined {
    this.#receivedBytes += bytes.length;
    const parsed = this.#parser.execute(bytes);
    if (parsed instanceof Error) return parsed.message;
    // The library counts the whole part that ends an answer as a head.
    if (!this.#isInAnswer && !this.isInHead) this.#lines.headerSize = 0;
    return this.#framingError ?? this.#findForeignLine() ?? this.#findExcess();
  }

  /** Returns a message if the beginning of a status line is that of no answer. */
  #findForeignLine(): string | undefined {
    const { state, line } = this.#lines;
    if (state !== "RESPONSE_LINE" || mayBecomeStatusLine(line)) {
      return undefined;
    }
    return "The bytes begin no answer";
  }

  /**
   * Returns a message if the last part of a body with a length is followed by
   * bytes that begin no other answer: its length may have lost digits.
   */
  #findSurplus(partBytes: number): string | undefined {
    const { state, body_bytes: missingBytes, chunk, offset, end } = this.#lines;
    if (state !== "BODY_SIZED" || partBytes < missingBytes) return undefined;
    if (mayBeginAnswer(chunk.subarray(offset + partBytes, end))) {
      return undefined;
    }
    return "The answer is longer than its Content-Length";
  }

  /** Returns a message if an answer consists of too much besides its body. */
  #findExcess(): string | undefined {
    const { state, line } = this.#lines;
    if (CHUNK_STATES.has(state) && line.length > MAX_LINE_BYTES) {
      return "A line between two chunks of the answer is too long";
    }
    const limit = OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * this.#bodyBytes;
    if (this.#receivedBytes - this.#bodyBytes <= limit) return undefined;
    return "The answer has too much besides its body";
  }

  /**
   * Handles the end of the connection; returns true if that completes an
   * answer.
   */
  end(): boolean {
    const wasInAnswer = this.#isInAnswer;
    const failure = this.#parser.finish();
    return wasInAnswer && !(failure instanceof Error) && !this.#isInAnswer;
  }
}

/**
 * Checks the headers that frame the body. The library accepts any length and
 * any transfer coding, so a truncated answer could pass for a complete one.
 */
function findFramingError(headers: readonly string[]): string | undefined {
  const length = findHeader(headers, "content-length");
  const coding = findHeader(headers, "transfer-encoding");
  if (countHeaders(headers, "transfer-encoding") > 1) {
    return "The answer has several Transfer-Encoding headers";
  }
  if (length !== undefined && !LENGTH_PATTERN.test(length)) {
    return "The Content-Length of the answer is not a number";
  }
  if (coding !== undefined && coding.toLowerCase() !== "chunked") {
    return "The answer has an unsupported Transfer-Encoding";
  }
  if (length !== undefined && coding !== undefined) {
    return "The answer has both Content-Length and Transfer-Encoding";
  }
  return undefined;
}

/**
 * Checks an interim answer, which has no body (RFC 9110, section 15.2). No request asks
 * for another protocol.
 */
function findInterimError(
  status: number,
  headers: readonly string[],
): string | undefined {
  if (status === SWITCHING_PROTOCOLS) {
    return "The upstream switches to another protocol";
  }
  const isFramed = findHeader(headers, "content-length") !== undefined ||
    findHeader(headers, "transfer-encoding") !== undefined;
  return isFramed ? "An interim answer has a body" : undefined;
}

function countHeaders(headers: readonly string[], name: string): number {
  let count = 0;
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) count++;
  }
  return count;
}

/** Parses the answers on one connection, stricter than the library by itself. */

import type { Buffer } from "node:buffer";
import { HTTPParser } from "http-parser-js";
import type { AnswerHead } from "../dialect.ts";
import { findHeader } from "../http/headers.ts";

const LENGTH_PATTERN = /^\d{1,15}$/;
const CHUNK_SIZE_PATTERN = /^([0-9a-fA-F]{1,8})(?:;.*)?$/;

/** Told of what is parsed. */
export interface AnswerParserListener {
  /** The head of an answer; returns true if it has no body. */
  onHead(head: AnswerHead): boolean;
  onBody(bytes: Buffer): void;
  /** An answer is whole; false if its connection ends with it. */
  onWhole(mayReuse: boolean): void;
}

interface ChunkParser {
  state: string;
  body_bytes: number;
  consumeLine(): string | undefined;
  BODY_CHUNKHEAD(): void;
}

/** The library reads a spoiled chunk size as the end of the body. */
function checkChunkSizes(parser: ChunkParser): void {
  parser.BODY_CHUNKHEAD = () => {
    const line = parser.consumeLine();
    if (line === undefined) return;
    const size = CHUNK_SIZE_PATTERN.exec(line)?.[1];
    if (size === undefined) throw new Error("A chunk size is no number");
    parser.body_bytes = parseInt(size, 16);
    parser.state = parser.body_bytes === 0
      ? "BODY_CHUNKTRAILERS"
      : "BODY_CHUNK";
  };
}

/** Parses answers one after the other. */
export class AnswerParser {
  readonly #parser = new HTTPParser(HTTPParser.RESPONSE);
  #isInAnswer = false;
  #isInformation = false;
  #mayReuse = true;
  #mistake: string | undefined;

  constructor(listener: AnswerParserListener) {
    const parser = this.#parser;
    checkChunkSizes(parser as unknown as ChunkParser);
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      const headers = info.headers;
      this.#isInAnswer = true;
      this.#isInformation = info.statusCode < 200;
      if (this.#isInformation) return 0;
      this.#mayReuse = info.shouldKeepAlive;
      this.#mistake ??= findFramingMistake(headers);
      // An answer that cannot be told from others is not shown to anyone.
      if (this.#mistake !== undefined) return 1;
      const hasNoBody = listener.onHead({ status: info.statusCode, headers });
      return hasNoBody ? 1 : 0;
    };
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      if (this.#mistake === undefined) {
        listener.onBody(chunk.subarray(offset, offset + length));
      }
    };
    parser[HTTPParser.kOnMessageComplete] = () => {
      this.#isInAnswer = false;
      if (this.#isInformation || this.#mistake !== undefined) return;
      listener.onWhole(this.#mayReuse);
    };
  }

  /** True between the head and the end of an answer. */
  get isInAnswer(): boolean {
    return this.#isInAnswer;
  }

  /** Takes bytes; returns why they are no answer, if they are not. */
  push(bytes: Buffer): string | undefined {
    const parsed = this.#parser.execute(bytes);
    if (parsed instanceof Error) return parsed.message;
    return this.#mistake;
  }

  /** Takes the end of the connection; true if it ends an answer properly. */
  end(): boolean {
    const wasInAnswer = this.#isInAnswer;
    const failure = this.#parser.finish();
    return wasInAnswer && !(failure instanceof Error) && !this.#isInAnswer;
  }
}

/** The library takes any number and any coding; a cut answer could look whole. */
function findFramingMistake(headers: readonly string[]): string | undefined {
  const length = findHeader(headers, "content-length");
  const coding = findHeader(headers, "transfer-encoding");
  if (length !== undefined && !LENGTH_PATTERN.test(length)) {
    return "The length of the answer is no number";
  }
  if (coding !== undefined && coding.toLowerCase() !== "chunked") {
    return "The answer has an unknown transfer coding";
  }
  if (length !== undefined && coding !== undefined) {
    return "The answer has a length and a transfer coding";
  }
  return undefined;
}

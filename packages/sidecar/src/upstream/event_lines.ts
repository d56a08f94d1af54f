/** Reads the data lines of a server-sent event stream. */

import { StringDecoder } from "node:string_decoder";
import type { Buffer } from "node:buffer";

const MAX_LINE_LENGTH = 1_048_576;

/** Splits a byte stream into the texts after "data:". */
export class EventLineReader {
  readonly #decoder = new StringDecoder("utf8");
  #rest = "";

  /** Takes bytes and returns the data texts that are now whole. */
  push(bytes: Buffer): readonly string[] {
    const text = this.#rest + this.#decoder.write(bytes);
    const lines = text.split("\n");
    this.#rest = lines.pop() ?? "";
    if (this.#rest.length > MAX_LINE_LENGTH) {
      throw new Error("An event line is too long");
    }
    const texts: string[] = [];
    for (const line of lines) {
      if (line.startsWith("data:")) texts.push(line.slice(5).trim());
    }
    return texts;
  }
}

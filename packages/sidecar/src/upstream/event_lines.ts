/** Reads the data lines of a stream of server-sent events. */

import { StringDecoder } from "node:string_decoder";
import type { Buffer } from "node:buffer";

const MAX_LINE_LENGTH = 1_048_576;

/** Splits a byte stream into lines and extracts the values after "data:". */
export class EventLineReader {
  readonly #decoder = new StringDecoder("utf8");
  #partialLine = "";

  /**
   * Adds bytes and returns the data values of the lines that they complete.
   *
   * @throws {Error} if an incomplete line exceeds the maximum length
   */
  push(bytes: Buffer): readonly string[] {
    const text = this.#partialLine + this.#decoder.write(bytes);
    const lines = text.split("\n");
    this.#partialLine = lines.pop() ?? "";
    if (this.#partialLine.length > MAX_LINE_LENGTH) {
      throw new Error("An event line exceeds the maximum length");
    }
    const values: string[] = [];
    for (const line of lines) {
      if (line.startsWith("data:")) values.push(line.slice(5).trim());
    }
    return values;
  }
}

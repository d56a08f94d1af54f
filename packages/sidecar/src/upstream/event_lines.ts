/** Reads the data lines of a stream of server-sent events. */

import { StringDecoder } from "node:string_decoder";
import type { Buffer } from "node:buffer";

const MAX_LINE_LENGTH = 1_048_576;

/** Splits a byte stream into lines and extracts the values after "data:". */
export class EventLineReader {
  readonly #decoder = new StringDecoder("utf8");
  #partialLine = "";

  /** True if an incomplete line exceeds the maximum length. */
  get isTooLong(): boolean {
    return this.#partialLine.length > MAX_LINE_LENGTH;
  }

  /** Adds bytes and returns the data values of the lines that they complete. */
  push(bytes: Buffer): readonly string[] {
    const text = this.#partialLine + this.#decoder.write(bytes);
    const lines = text.split("\n");
    this.#partialLine = lines.pop() ?? "";
    const values: string[] = [];
    for (const line of lines) {
      if (line.startsWith("data:")) values.push(line.slice(5).trim());
    }
    return values;
  }
}

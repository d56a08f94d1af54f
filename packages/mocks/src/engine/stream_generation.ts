/** Writes a generation as server-sent events, and injects the faults of a test. */

import { PassThrough } from "node:stream";
import type { Generation } from "./generation.ts";

/** Number of events after which an event of another stream is injected. */
const FOREIGN_EVENT_AFTER_EVENTS = 2;

/** Faults that can be injected into streams. */
export interface StreamFaults {
  /** Closes each stream after this many events; 0 for never. */
  breakAfterEvents: number;
  /** Sends each event twice. */
  duplicateEvents: boolean;
  /** Injects one event with another stream's id into each stream. */
  injectForeignEvents: boolean;
}

/** Returns a stream of a generation's text that starts at an offset. */
export function streamGeneration(
  generation: Generation,
  startOffset: number,
  options: { readonly faults: StreamFaults },
): PassThrough {
  const { faults } = options;
  const output = new PassThrough();
  const id = generation.request.id;
  let offset = startOffset;
  let events = 0;
  const send = (event: object) => {
    const copies = faults.duplicateEvents ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      output.write(`data: ${JSON.stringify(event)}\n\n`);
    }
  };
  const sendNewText = () => {
    if (output.destroyed || output.writableEnded) return;
    const text = generation.text.slice(offset);
    if (text !== "") {
      send({ id, offset, text });
      offset += text.length;
      events++;
    }
    if (faults.injectForeignEvents && events === FOREIGN_EVENT_AFTER_EVENTS) {
      send({ id: "other", offset: 0, text: "foreign" });
    }
    const eventLimit = faults.breakAfterEvents;
    if (eventLimit > 0 && events >= eventLimit) return void output.destroy();
    if (!generation.finished) return;
    send({ id, offset, text: "", ...describeEnd(generation) });
    output.write("data: [DONE]\n\n");
    output.end();
  };
  generation.onProgress = sendNewText;
  output.on("error", () => undefined);
  output.write(": started\n\n");
  const hasMore = generation.text.length > offset || generation.finished;
  if (hasMore) setImmediate(sendNewText);
  return output;
}

function describeEnd(generation: Generation): object {
  return {
    finish: "length",
    usage: {
      promptTokens: generation.promptTokens,
      cachedTokens: generation.cachedTokens,
      completionTokens: generation.completionTokens,
    },
  };
}

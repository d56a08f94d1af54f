/** Writes a generation as server-sent events, with the faults of a test. */

import { PassThrough } from "node:stream";
import type { Generation } from "./engine_stream.ts";

/** Event of the own stream after which a foreign one is sent. */
const CROSS_AFTER_EVENTS = 2;

/** Faults of a stream. */
export interface StreamFaults {
  /** Breaks each stream off after so many events; 0 for never. */
  breakAfterEvents: number;
  /** Sends each event twice. */
  duplicateEvents: boolean;
  /** Sends one event of another stream into each stream. */
  crossEvents: boolean;
}

/** Starts to write a generation from an offset of its text. */
export function streamGeneration(
  generation: Generation,
  from: number,
  options: { readonly faults: StreamFaults },
): PassThrough {
  const { faults } = options;
  const output = new PassThrough();
  const id = generation.request.id;
  let offset = from;
  let events = 0;
  const send = (event: object) => {
    const times = faults.duplicateEvents ? 2 : 1;
    for (let time = 0; time < times; time++) {
      output.write(`data: ${JSON.stringify(event)}\n\n`);
    }
  };
  const grow = () => {
    if (output.destroyed || output.writableEnded) return;
    const text = generation.text.slice(offset);
    if (text !== "") {
      send({ id, offset, text });
      offset += text.length;
      events++;
    }
    if (faults.crossEvents && events === CROSS_AFTER_EVENTS) {
      send({ id: "other", offset: 0, text: "foreign" });
    }
    const breaks = faults.breakAfterEvents;
    if (breaks > 0 && events >= breaks) return void output.destroy();
    if (!generation.finished) return;
    send({ id, offset, text: "", ...describeEnd(generation) });
    output.write("data: [DONE]\n\n");
    output.end();
  };
  generation.onGrowth = grow;
  output.on("error", () => undefined);
  output.write(": started\n\n");
  const hasMore = generation.text.length > offset || generation.finished;
  if (hasMore) setImmediate(grow);
  return output;
}

function describeEnd(generation: Generation): object {
  return {
    finish: "length",
    usage: {
      promptTokens: generation.promptTokens,
      cachedTokens: generation.cachedTokens,
      completionTokens: generation.generated,
    },
  };
}

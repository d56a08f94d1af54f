/**
 * Assembles the text of one engine stream. Duplicate events are ignored;
 * missing, foreign and malformed ones mark the stream as broken.
 */

import type { Usage } from "@mallowlift/core";
import { NO_USAGE } from "@mallowlift/core";

/** An event of an engine's stream, not validated. */
interface EngineEvent {
  readonly id?: unknown;
  readonly offset?: unknown;
  readonly text?: unknown;
  readonly finish?: unknown;
  readonly usage?: Partial<Usage>;
}

/** What the reader of a stream does after an event. */
export const STREAM_STEPS = {
  CONTINUE: "go_on",
  /** The end marker was read: the answer is complete. */
  COMPLETE: "whole",
  /** An event is missing, foreign or malformed: resume from the offset. */
  BROKEN: "broken",
  /** The stream is longer than any valid one. */
  TOO_LONG: "too_long",
} as const;

/** One of {@linkcode STREAM_STEPS}. */
export type StreamStep = typeof STREAM_STEPS[keyof typeof STREAM_STEPS];

const END_MARKER = "[DONE]";

/** Text, finish reason and usage of one stream. */
export class EngineStream {
  readonly #streamId: string;
  readonly #onText: (text: string) => void;
  text = "";
  finish = "";
  usage: Usage = NO_USAGE;

  constructor(streamId: string, onText: (text: string) => void) {
    this.#streamId = streamId;
    this.#onText = onText;
  }

  /** Processes the data of one event. */
  processData(data: string): StreamStep {
    if (data === END_MARKER) {
      return this.finish === "" ? STREAM_STEPS.BROKEN : STREAM_STEPS.COMPLETE;
    }
    const event = parseEvent(data);
    if (event === undefined || event.id !== this.#streamId) {
      return STREAM_STEPS.BROKEN;
    }
    if (
      typeof event.text === "string" &&
      !this.#appendText(event.text, event.offset)
    ) {
      return STREAM_STEPS.BROKEN;
    }
    if (typeof event.finish === "string") {
      this.finish = event.finish;
      this.usage = { ...NO_USAGE, ...event.usage };
    }
    return STREAM_STEPS.CONTINUE;
  }

  #appendText(text: string, offset: unknown): boolean {
    if (typeof offset !== "number" || offset > this.text.length) return false;
    const newText = text.slice(this.text.length - offset);
    if (newText === "") return true;
    this.text += newText;
    this.#onText(newText);
    return true;
  }
}

function parseEvent(data: string): EngineEvent | undefined {
  try {
    const value: unknown = JSON.parse(data);
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

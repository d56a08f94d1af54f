/** Puts the text of one engine stream together, whatever the engine sends. */

import type { Usage } from "@mallowlift/core";
import { NO_USAGE } from "@mallowlift/core";

/** One event of an engine's stream. */
interface EngineEvent {
  readonly id?: unknown;
  readonly offset?: unknown;
  readonly text?: unknown;
  readonly finish?: unknown;
  readonly usage?: Partial<Usage>;
}

/** What a reader should do after an event. */
export const STREAM_STEPS = {
  GO_ON: "go_on",
  /** The end mark was read: the answer is whole. */
  WHOLE: "whole",
  /** Something is missing or foreign: resume from the offset. */
  BROKEN: "broken",
} as const;

/** One of {@linkcode STREAM_STEPS}. */
export type StreamStep = typeof STREAM_STEPS[keyof typeof STREAM_STEPS];

const END_MARK = "[DONE]";

/** Text, end and usage of one stream; repeated and foreign events do no harm. */
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

  /** Takes one data text. */
  take(data: string): StreamStep {
    if (data === END_MARK) {
      return this.finish === "" ? STREAM_STEPS.BROKEN : STREAM_STEPS.WHOLE;
    }
    const event = parseEvent(data);
    if (event === undefined || event.id !== this.#streamId) {
      return STREAM_STEPS.BROKEN;
    }
    if (
      typeof event.text === "string" &&
      !this.#takeText(event.text, event.offset)
    ) {
      return STREAM_STEPS.BROKEN;
    }
    if (typeof event.finish === "string") {
      this.finish = event.finish;
      this.usage = { ...NO_USAGE, ...event.usage };
    }
    return STREAM_STEPS.GO_ON;
  }

  #takeText(text: string, offset: unknown): boolean {
    if (typeof offset !== "number" || offset > this.text.length) return false;
    const fresh = text.slice(this.text.length - offset);
    if (fresh === "") return true;
    this.text += fresh;
    this.#onText(fresh);
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

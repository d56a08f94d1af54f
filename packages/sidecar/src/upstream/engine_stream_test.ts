import fc from "fast-check";
import { test } from "tap";
import { EngineStream, STREAM_STEPS } from "./engine_stream.ts";
import { EventLineReader } from "./event_lines.ts";
import { Buffer } from "node:buffer";

const SEED = 1;
const STREAM_ID = "stream-1";

interface GeneratedEvent {
  readonly kind: "next" | "again" | "foreign" | "ahead";
  readonly size: number;
}

const generatedEvent: fc.Arbitrary<GeneratedEvent> = fc.record({
  kind: fc.constantFrom("next", "next", "next", "again", "foreign", "ahead"),
  size: fc.integer({ min: 1, max: 9 }),
});

test("any event sequence yields a prefix of the answer, each part once and in order", (t) => {
  fc.assert(
    fc.property(
      fc.string({ minLength: 1, maxLength: 60 }),
      fc.array(generatedEvent),
      (answer, events) => {
        let received = "";
        const stream = new EngineStream(STREAM_ID, (text) => received += text);
        let offset = 0;
        for (const { kind, size } of events) {
          const from = kind === "again"
            ? Math.max(0, offset - size)
            : offset + (kind === "ahead" ? size : 0);
          const text = answer.slice(from, from + size);
          const id = kind === "foreign" ? "other" : STREAM_ID;
          const step = stream.processData(
            JSON.stringify({ id, offset: from, text }),
          );
          t.ok(answer.startsWith(received));
          t.equal(stream.text, received);
          if (kind === "foreign") t.equal(step, STREAM_STEPS.BROKEN);
          if (step === STREAM_STEPS.BROKEN) offset = stream.text.length;
          else offset = Math.max(offset, Math.min(answer.length, from + size));
        }
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

test("an answer without a finish reason is not complete", (t) => {
  const stream = new EngineStream(STREAM_ID, () => undefined);
  t.equal(stream.processData("[DONE]"), STREAM_STEPS.BROKEN);
  stream.processData(
    JSON.stringify({ id: STREAM_ID, offset: 0, text: "ice", finish: "length" }),
  );
  t.equal(stream.processData("[DONE]"), STREAM_STEPS.COMPLETE);
  t.end();
});

test("arbitrary bytes never make the readers throw", (t) => {
  fc.assert(
    fc.property(fc.array(fc.string()), (parts) => {
      const lines = new EventLineReader();
      const stream = new EngineStream(STREAM_ID, () => undefined);
      for (const part of parts) {
        for (const data of lines.push(Buffer.from(`data: ${part}\n`))) {
          stream.processData(data);
        }
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

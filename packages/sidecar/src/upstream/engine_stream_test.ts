import fc from "fast-check";
import { test } from "tap";
import { EngineStream, STREAM_STEPS } from "./engine_stream.ts";
import { EventLineReader } from "./event_lines.ts";
import { Buffer } from "node:buffer";

const SEED = 1;
const ID = "stream-1";

interface Sent {
  readonly kind: "next" | "again" | "foreign" | "ahead";
  readonly size: number;
}

const sent: fc.Arbitrary<Sent> = fc.record({
  kind: fc.constantFrom("next", "next", "next", "again", "foreign", "ahead"),
  size: fc.integer({ min: 1, max: 9 }),
});

test("whatever comes, the text is a beginning of the answer, told once and in order", (t) => {
  fc.assert(
    fc.property(
      fc.string({ minLength: 1, maxLength: 60 }),
      fc.array(sent),
      (answer, events) => {
        let told = "";
        const stream = new EngineStream(ID, (text) => told += text);
        let offset = 0;
        for (const { kind, size } of events) {
          const from = kind === "again"
            ? Math.max(0, offset - size)
            : offset + (kind === "ahead" ? size : 0);
          const text = answer.slice(from, from + size);
          const id = kind === "foreign" ? "other" : ID;
          const step = stream.take(JSON.stringify({ id, offset: from, text }));
          t.ok(answer.startsWith(told));
          t.equal(stream.text, told);
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

test("an answer without its end is not whole", (t) => {
  const stream = new EngineStream(ID, () => undefined);
  t.equal(stream.take("[DONE]"), STREAM_STEPS.BROKEN);
  stream.take(
    JSON.stringify({ id: ID, offset: 0, text: "ice", finish: "length" }),
  );
  t.equal(stream.take("[DONE]"), STREAM_STEPS.WHOLE);
  t.end();
});

test("no bytes make the readers throw", (t) => {
  fc.assert(
    fc.property(fc.array(fc.string()), (parts) => {
      const lines = new EventLineReader();
      const stream = new EngineStream(ID, () => undefined);
      for (const part of parts) {
        for (const data of lines.push(Buffer.from(`data: ${part}\n`))) {
          stream.take(data);
        }
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

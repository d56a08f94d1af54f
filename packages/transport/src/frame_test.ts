import { Buffer } from "node:buffer";
import fc from "fast-check";
import { test } from "tap";
import { checkFrame, encodeFrame, FrameReader } from "./frame.ts";

const SEED = 1;
const LIMIT = 65_536;

test("messages are decoded completely however the bytes are split", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ id: fc.nat(), text: fc.string() }), {
        minLength: 1,
        maxLength: 10,
      }),
      fc.array(fc.integer({ min: 1, max: 40 }), {
        minLength: 1,
        maxLength: 20,
      }),
      (messages, cuts) => {
        const bytes = Buffer.concat(messages.map(encodeFrame));
        const reader = new FrameReader(LIMIT);
        const read: unknown[] = [];
        let offset = 0;
        for (let position = 0; offset < bytes.length; position++) {
          const size = cuts[position % cuts.length] ?? 1;
          read.push(
            ...reader.push(bytes.subarray(offset, offset + size)).unwrap(),
          );
          offset += size;
        }
        t.same(read, messages);
      },
    ),
    { seed: SEED, numRuns: 100 },
  );
  t.end();
});

test("the reader does not throw on arbitrary bytes", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 64 }), { maxLength: 10 }),
      (parts) => {
        const reader = new FrameReader(LIMIT);
        for (const part of parts) {
          const messages = reader.push(Buffer.from(part));
          if (messages.err) return;
          for (const message of messages.val) checkFrame(message);
        }
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

test("a frame above the size limit is rejected before its payload arrives", (t) => {
  const lengthPrefix = Buffer.alloc(4);
  lengthPrefix.writeUInt32BE(LIMIT + 1, 0);
  const refused = new FrameReader(LIMIT).push(lengthPrefix);
  t.equal(refused.err && refused.val.code.name, "FRAME_TOO_LARGE");
  t.end();
});

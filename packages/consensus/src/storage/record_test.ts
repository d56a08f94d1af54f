import { Buffer } from "node:buffer";
import fc from "fast-check";
import { test } from "tap";
import { encodeRecord, scanRecords } from "./record.ts";

const SEED = 1;
const values = fc.array(fc.record({ index: fc.nat(), text: fc.string() }), {
  minLength: 1,
  maxLength: 8,
});

test("a file truncated anywhere yields its complete records and a torn tail", (t) => {
  fc.assert(
    fc.property(values, fc.nat(), (written, cut) => {
      const file = Buffer.concat(written.map(encodeRecord));
      const scanned = scanRecords(file.subarray(0, cut % (file.length + 1)));
      t.same(scanned.values, written.slice(0, scanned.values.length));
      t.notOk(scanned.isCorrupted);
    }),
    { seed: SEED, numRuns: 100 },
  );
  t.end();
});

test("a changed byte before the last record is reported as corruption, never as data", (t) => {
  fc.assert(
    fc.property(
      values,
      fc.nat(),
      fc.integer({ min: 1, max: 255 }),
      (written, at, change) => {
        const records = written.map(encodeRecord);
        const file = Buffer.concat(records);
        const position = at % file.length;
        file[position] = (file[position] ?? 0) ^ change;
        const scanned = scanRecords(file);
        t.same(scanned.values, written.slice(0, scanned.values.length));
        const isLast = position >= file.length - (records.at(-1)?.length ?? 0);
        t.equal(scanned.isCorrupted, !isLast);
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
  t.end();
});

test("the scan does not throw for arbitrary bytes", (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      scanRecords(Buffer.from(bytes));
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

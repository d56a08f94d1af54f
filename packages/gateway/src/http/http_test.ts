import { Buffer } from "node:buffer";
import fc from "fast-check";
import { test } from "tap";
import { EventSplitter, readEventData } from "./event_splitter.ts";
import { dropHopHeaders, findHeader } from "./headers.ts";

const SEED = 1;

test("events are complete however their bytes are split", (t) => {
  const text =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\ndata:d\n\n";
  const whole = [
    "id: 1\ndata: a\n\n",
    "id: 2\r\ndata: b\r\ndata: c\r\n\r\n",
    "data:d\n\n",
  ];
  fc.assert(
    fc.property(fc.array(fc.nat(text.length), { maxLength: 6 }), (cuts) => {
      const splitter = new EventSplitter();
      const points = [...cuts, text.length].sort((left, right) => left - right);
      const events: string[] = [];
      let start = 0;
      for (const point of points) {
        const bytes = Buffer.from(text.slice(start, point));
        events.push(...splitter.push(bytes).map(String));
        start = point;
      }
      t.same(events, whole);
      t.ok(splitter.isEmpty);
    }),
    { seed: SEED, numRuns: 50 },
  );
  t.same(whole.map((event) => String(readEventData(Buffer.from(event)))), [
    "a\n",
    "b\nc\n",
    "d\n",
  ]);
  t.end();
});

test("an incomplete event is not returned", (t) => {
  const splitter = new EventSplitter();
  t.same(splitter.push(Buffer.from("data: a\n")), []);
  t.notOk(splitter.isEmpty);
  t.end();
});

test("hop-by-hop headers are removed, also those that the Connection header names", (t) => {
  const headers = [
    "Host",
    "a",
    "Connection",
    "close, X-Own",
    "x-own",
    "1",
    "Keep-Alive",
    "1",
    "Transfer-Encoding",
    "chunked",
    "X-Other",
    "2",
    "X-SYSTEM",
    "3",
  ];
  t.same(dropHopHeaders(headers, new Set(["x-system"])), [
    "Host",
    "a",
    "X-Other",
    "2",
  ]);
  t.equal(findHeader(headers, "x-other"), "2");
  t.end();
});

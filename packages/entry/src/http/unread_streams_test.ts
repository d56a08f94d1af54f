import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { createMetrics, SILENT_LOGGER } from "@mallowlift/core";
import { test } from "tap";
import { UnreadStreams } from "./unread_streams.ts";

const MEBIBYTE = 1_048_576;

class FakeResponse extends EventEmitter {
  writableLength = 0;
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit("close");
  }
}

function createStreams(count: number) {
  const unread = new UnreadStreams({
    callBytes: 2 * MEBIBYTE,
    totalBytes: 3 * MEBIBYTE,
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
  });
  const responses = Array.from({ length: count }, () => new FakeResponse());
  for (const response of responses) {
    unread.add(response as unknown as ServerResponse);
  }
  const check = (response: FakeResponse | undefined, isEnding = false) =>
    unread.checkBeforeWrite(response as unknown as ServerResponse, isEnding);
  return { responses, check };
}

// Guards against an entry that grows by all that its callers do not read.
test("a caller that does not read a stream is disconnected", (t) => {
  const { responses, check } = createStreams(1);
  const [only] = responses;
  if (only === undefined) throw new Error("There is no stream");
  only.writableLength = 2 * MEBIBYTE;
  check(only);
  t.notOk(only.destroyed);
  only.writableLength++;
  check(only, true);
  t.notOk(only.destroyed, "the last events follow each other at once");
  check(only);
  t.ok(only.destroyed);
  t.end();
});

test("the slowest caller is disconnected while all streams exceed their limit", (t) => {
  const { responses, check } = createStreams(4);
  for (const [number, response] of responses.entries()) {
    response.writableLength = number === 2 ? 1.5 * MEBIBYTE : 0.6 * MEBIBYTE;
  }
  check(responses[0]);
  t.same(responses.map(({ destroyed }) => destroyed), [
    false,
    false,
    true,
    false,
  ]);
  check(responses[0]);
  t.equal(responses.filter(({ destroyed }) => destroyed).length, 1);
  t.end();
});

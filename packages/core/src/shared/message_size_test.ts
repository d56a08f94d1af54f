import { test } from "tap";
import {
  computeMessageBytes,
  MAX_MESSAGE_BYTES,
  MIN_MESSAGE_BYTES,
} from "./message_size.ts";

/**
 * Returns the message size after many full messages over a link of this
 * bandwidth.
 */
function findSteadySize(bytesPerSecond: number, messages: number): number {
  let allowed = MAX_MESSAGE_BYTES;
  for (let count = 0; count < messages; count++) {
    const milliseconds = allowed * 1_000 / bytesPerSecond;
    allowed = computeMessageBytes(allowed, { sent: allowed, milliseconds });
  }
  return allowed;
}

test("messages on a slow link take a fraction of an election timeout", (t) => {
  for (const bytesPerSecond of [100_000, 200_000, 400_000, 1_000_000]) {
    const milliseconds = findSteadySize(bytesPerSecond, 20) * 1_000 /
      bytesPerSecond;
    t.ok(
      milliseconds <= 200,
      `${bytesPerSecond} bytes a second: ${milliseconds} ms`,
    );
  }
  t.end();
});

test("a fast link keeps large messages, and small ones grow again", (t) => {
  t.equal(findSteadySize(16_000_000, 20), MAX_MESSAGE_BYTES);
  const sent = { sent: MIN_MESSAGE_BYTES, milliseconds: 3 };
  let allowed = MIN_MESSAGE_BYTES;
  for (let count = 0; count < 4; count++) {
    allowed = computeMessageBytes(allowed, sent);
  }
  t.equal(allowed, MAX_MESSAGE_BYTES);
  t.end();
});

test("a small message that was delayed does not reduce the size", (t) => {
  const last = { sent: 100, milliseconds: 900 };
  t.equal(computeMessageBytes(MAX_MESSAGE_BYTES, last), MAX_MESSAGE_BYTES);
  t.end();
});

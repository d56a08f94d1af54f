import { test } from "tap";
import {
  findMessageBytes,
  LEAST_MESSAGE_BYTES,
  MOST_MESSAGE_BYTES,
} from "./message_size.ts";

/** Sends full messages over a way of so many bytes a second; the last size. */
function settle(bytesPerSecond: number, messages: number): number {
  let allowed = MOST_MESSAGE_BYTES;
  for (let count = 0; count < messages; count++) {
    const milliseconds = allowed * 1_000 / bytesPerSecond;
    allowed = findMessageBytes(allowed, { sent: allowed, milliseconds });
  }
  return allowed;
}

test("messages on a narrow way take a fraction of an election timeout", (t) => {
  for (const pace of [100_000, 200_000, 400_000, 1_000_000]) {
    const milliseconds = settle(pace, 20) * 1_000 / pace;
    t.ok(milliseconds <= 200, `${pace} bytes a second: ${milliseconds} ms`);
  }
  t.end();
});

test("a wide way keeps large messages, and gets them back", (t) => {
  t.equal(settle(16_000_000, 20), MOST_MESSAGE_BYTES);
  const sent = { sent: LEAST_MESSAGE_BYTES, milliseconds: 3 };
  let allowed = LEAST_MESSAGE_BYTES;
  for (let count = 0; count < 4; count++) {
    allowed = findMessageBytes(allowed, sent);
  }
  t.equal(allowed, MOST_MESSAGE_BYTES);
  t.end();
});

test("a small message that waited says nothing of the way", (t) => {
  const last = { sent: 100, milliseconds: 900 };
  t.equal(findMessageBytes(MOST_MESSAGE_BYTES, last), MOST_MESSAGE_BYTES);
  t.end();
});

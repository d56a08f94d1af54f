import { test } from "tap";
import {
  findSpareBatchDelay,
  SPARE_BATCH_DELAY_MILLISECONDS,
  SPARE_BATCH_ENTRIES,
} from "./spare_batching.ts";

test("a spare that lacks no entries is sent none", (t) => {
  t.equal(findSpareBatchDelay({ behind: 0, sentAt: 0, now: 9_000 }), Infinity);
  t.end();
});

test("a busy leader sends a spare its entries in batches", (t) => {
  for (const rate of [10, 100, 1_000]) {
    let sentAt = 0;
    let sent = 0;
    let behind = 0;
    let messages = 0;
    let maxBehind = 0;
    for (let now = 0; now < 10_000; now++) {
      if (now % (1_000 / rate) === 0) behind++;
      maxBehind = Math.max(maxBehind, behind);
      if (findSpareBatchDelay({ behind, sentAt, now }) > 0) continue;
      messages++;
      sent += behind;
      behind = 0;
      sentAt = now;
    }
    t.ok(sent + behind === rate * 10);
    t.ok(
      maxBehind <= SPARE_BATCH_ENTRIES,
      "the spare always counts as caught up",
    );
    const allowed = 10_000 / SPARE_BATCH_DELAY_MILLISECONDS +
      rate * 10 / SPARE_BATCH_ENTRIES;
    t.ok(
      messages <= allowed,
      `${messages} messages at ${rate} entries a second`,
    );
  }
  t.end();
});

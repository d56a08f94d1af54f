import { test } from "tap";
import {
  findSpareWait,
  GATHER_MILLISECONDS,
  GATHERED_ENTRIES,
} from "./spare_pace.ts";

test("a spare that has everything waits for entries", (t) => {
  t.equal(findSpareWait({ behind: 0, sentAt: 0, now: 9_000 }), Infinity);
  t.end();
});

test("a busy leader sends a spare a few messages a second, not one an entry", (t) => {
  for (const rate of [10, 100, 1_000]) {
    let sentAt = 0;
    let sent = 0;
    let behind = 0;
    let messages = 0;
    let most = 0;
    for (let now = 0; now < 10_000; now++) {
      if (now % (1_000 / rate) === 0) behind++;
      most = Math.max(most, behind);
      if (findSpareWait({ behind, sentAt, now }) > 0) continue;
      messages++;
      sent += behind;
      behind = 0;
      sentAt = now;
    }
    t.ok(sent + behind === rate * 10);
    t.ok(
      most <= GATHERED_ENTRIES,
      "the spare counts as caught up all the time",
    );
    const allowed = 10_000 / GATHER_MILLISECONDS + rate * 10 / GATHERED_ENTRIES;
    t.ok(
      messages <= allowed,
      `${messages} messages at ${rate} entries a second`,
    );
  }
  t.end();
});

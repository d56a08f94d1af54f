import { test } from "tap";
import { findStopEnd } from "./stop_end.ts";

test("a stop ends after its maximum time, or before the process is killed", (t) => {
  const find = (stopMilliseconds: number, killSeconds: number) =>
    findStopEnd({ stopMilliseconds, killSeconds }, 1_000);
  t.equal(find(60_000, 0), 61_000);
  t.equal(find(60_000, 8), 7_800);
  t.equal(find(3_000, 8), 4_000);
  t.equal(find(3_000, 1), 1_000, "never before the request");
  t.end();
});

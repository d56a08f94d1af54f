import { test } from "tap";
import { RecentMinimum } from "./recent_minimum.ts";

test("the smallest value is kept for one to two windows", (t) => {
  const minimum = new RecentMinimum(1_000);
  t.equal(minimum.value, Infinity, "without a value");
  minimum.record(5, 0);
  minimum.record(9, 500);
  t.equal(minimum.value, 5);
  minimum.record(9, 1_000);
  t.equal(minimum.value, 5, "in the window after");
  minimum.record(8, 2_000);
  t.equal(minimum.value, 8, "two windows later");
  t.end();
});

import { test } from "tap";
import { LogRateLimiter } from "./log_rate_limiter.ts";

test("one line per subject and interval is allowed, and the others are counted", (t) => {
  const limit = new LogRateLimiter(1_000);
  t.equal(limit.take("a", 0), 0);
  t.equal(limit.take("a", 10), undefined);
  t.equal(limit.take("b", 10), 0, "subjects are limited separately");
  t.equal(limit.take("a", 999), undefined);
  t.equal(limit.take("a", 1_000), 2);
  t.equal(limit.take("a", 2_000), 0, "the count is reset");
  t.end();
});

test("the number of tracked subjects is bounded", (t) => {
  const limit = new LogRateLimiter(1_000);
  for (let number = 0; number <= 1_000; number++) limit.take(`${number}`, 0);
  t.equal(limit.take("0", 1), 0, "the oldest subject is evicted");
  t.equal(limit.take("1000", 1), undefined, "the newest is not");
  t.end();
});

import { test } from "tap";
import { RequestAgeEstimator } from "./request_age.ts";

/** Difference between the clocks of sender and receiver, ms. */
const CLOCK_DIFFERENCE = 5_000;

function estimateAge(
  ages: RequestAgeEstimator,
  sentAt: number,
  milliseconds: number,
): number {
  const readAt = sentAt + CLOCK_DIFFERENCE + milliseconds;
  return ages.estimate({ sentAt, readAt });
}

test("the age of a request is what it took beyond the fastest one", (t) => {
  const ages = new RequestAgeEstimator();
  t.equal(estimateAge(ages, 0, 12), 0, "the first one has no other to compare");
  t.equal(estimateAge(ages, 10, 2), 0);
  t.equal(estimateAge(ages, 20, 402), 400);
  t.equal(estimateAge(ages, 30, 2), 0);
  t.end();
});

test("clocks that drift apart add no lasting age", (t) => {
  const ages = new RequestAgeEstimator();
  const driftPerMillisecond = 0.000_1;
  let oldest = 0;
  for (let sentAt = 0; sentAt < 1_000_000; sentAt += 1_000) {
    const drift = sentAt * driftPerMillisecond;
    oldest = Math.max(oldest, estimateAge(ages, sentAt, 2 + drift));
  }
  t.ok(oldest <= 13, `${oldest} ms`);
  t.end();
});

import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { test } from "tap";
import { ProgramUrgency, RANKS } from "./program_urgency.ts";

const REQUESTS_PER_SECOND = 100;
const BURST_FACTOR = 1.6;
const SERVICE_MILLISECONDS = 10;
const SECONDS = 6;

interface QueuedRequest {
  readonly rank: number;
  readonly deadline: number;
}

/** Counts the programs that one overloaded server finishes in time. */
function simulateBurst(seed: number, usesRanks: boolean): number {
  const generator = xoroshiro128plus(seed);
  const drawInteger = (min: number, max: number) =>
    unsafeUniformIntDistribution(min, max, generator);
  const urgency = new ProgramUrgency();
  const queue: QueuedRequest[] = [];
  let inTime = 0;
  let busyUntil = 0;
  for (let now = 0; now < SECONDS * 1_000; now++) {
    if (drawInteger(1, 1_000) <= REQUESTS_PER_SECOND * BURST_FACTOR) {
      const left = drawInteger(1, 5_000) - 500;
      const rank = usesRanks ? urgency.rank("r", left) : RANKS.NORMAL;
      queue.push({ rank, deadline: now + left });
    }
    if (now < busyUntil || queue.length === 0) continue;
    const first = queue.reduce((best, next) =>
      next.rank < best.rank ? next : best
    );
    queue.splice(queue.indexOf(first), 1);
    busyUntil = now + SERVICE_MILLISECONDS;
    if (busyUntil <= first.deadline) inTime++;
  }
  return inTime;
}

test("in a burst more programs end in time by rank than in order of arrival", (t) => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const ranked = simulateBurst(seed, true);
    const unranked = simulateBurst(seed, false);
    t.ok(ranked > unranked, `seed ${seed}: ${ranked} and ${unranked} in time`);
  }
  t.end();
});

test("about half of the programs of a route are urgent, whatever their deadlines", (t) => {
  for (const scale of [1, 1_000]) {
    const urgency = new ProgramUrgency();
    const generator = xoroshiro128plus(7);
    let urgent = 0;
    for (let program = 0; program < 2_000; program++) {
      const left = scale * unsafeUniformIntDistribution(1, 9, generator);
      const rank = urgency.rank("r", left);
      if (program >= 1_000 && rank === RANKS.URGENT) urgent++;
    }
    t.ok(urgent > 300 && urgent < 700, `${urgent} of 1000`);
  }
  t.end();
});

test("a program that is late or has no deadline is never urgent", (t) => {
  const urgency = new ProgramUrgency();
  t.equal(urgency.rank("r", 0), RANKS.LATE);
  t.equal(urgency.rank("r", Infinity), RANKS.NORMAL);
  t.end();
});

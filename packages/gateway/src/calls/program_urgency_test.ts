import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { test } from "tap";
import { ProgramUrgency, RANKS } from "./program_urgency.ts";

const RATE = 100;
const BURST = 1.6;
const SERVICE_MILLISECONDS = 10;
const SECONDS = 6;

interface Waiting {
  readonly rank: number;
  readonly endsBy: number;
}

/** Programs in time at one busy server, by the order in which it takes them. */
function playBurst(seed: number, isRanked: boolean): number {
  const generator = xoroshiro128plus(seed);
  const draw = (least: number, most: number) =>
    unsafeUniformIntDistribution(least, most, generator);
  const urgency = new ProgramUrgency();
  const waiting: Waiting[] = [];
  let inTime = 0;
  let busyUntil = 0;
  for (let now = 0; now < SECONDS * 1_000; now++) {
    if (draw(1, 1_000) <= RATE * BURST) {
      const left = draw(1, 5_000) - 500;
      const rank = isRanked ? urgency.rank("r", left) : RANKS.USUAL;
      waiting.push({ rank, endsBy: now + left });
    }
    if (now < busyUntil || waiting.length === 0) continue;
    const first = waiting.reduce((best, next) =>
      next.rank < best.rank ? next : best
    );
    waiting.splice(waiting.indexOf(first), 1);
    busyUntil = now + SERVICE_MILLISECONDS;
    if (busyUntil <= first.endsBy) inTime++;
  }
  return inTime;
}

test("in a burst more programs end in time by rank than by arrival", (t) => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const ranked = playBurst(seed, true);
    const arrived = playBurst(seed, false);
    t.ok(ranked > arrived, `seed ${seed}: ${ranked} and ${arrived} in time`);
  }
  t.end();
});

test("half of the programs of a route count as urgent, whatever their times", (t) => {
  for (const scale of [1, 1_000]) {
    const urgency = new ProgramUrgency();
    const generator = xoroshiro128plus(7);
    let soon = 0;
    for (let program = 0; program < 2_000; program++) {
      const left = scale * unsafeUniformIntDistribution(1, 9, generator);
      const rank = urgency.rank("r", left);
      if (program >= 1_000 && rank === RANKS.SOON) soon++;
    }
    t.ok(soon > 300 && soon < 700, `${soon} of 1000`);
  }
  t.end();
});

test("a program that is late or says nothing is never in front", (t) => {
  const urgency = new ProgramUrgency();
  t.equal(urgency.rank("r", 0), RANKS.LATE);
  t.equal(urgency.rank("r", Infinity), RANKS.USUAL);
  t.end();
});

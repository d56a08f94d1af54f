import { test } from "tap";
import { StopSchedule } from "./stop_schedule.ts";

test("the final answers come before the end of a stop", (t) => {
  const long = new StopSchedule(1_000, 9_000);
  t.equal(long.answersAt, 8_700);
  const short = new StopSchedule(1_000, 1_200);
  t.equal(
    short.answersAt,
    1_100,
    "a short stop still serves for half its time",
  );
  const late = new StopSchedule(1_000, 500);
  t.equal(late.endAt, 1_000);
  t.equal(late.answersAt, 1_000);
  t.end();
});

test("a request that may not be repeated needs its whole time", (t) => {
  const schedule = new StopSchedule(0, 8_000);
  const canFinish = (deadlineAt: number, now = 0) =>
    schedule.canFinish(
      { isRepeatable: false, deadlineAt, usualMilliseconds: 1 },
      now,
    );
  t.ok(canFinish(7_700));
  t.notOk(canFinish(7_701));
  t.notOk(canFinish(Infinity));
  t.notOk(canFinish(7_000, 7_700), "nothing is sent after the final answers");
  t.end();
});

test("a request that may be repeated needs what its service usually takes", (t) => {
  const schedule = new StopSchedule(0, 8_000);
  const canFinish = (usualMilliseconds: number, now: number) =>
    schedule.canFinish(
      { isRepeatable: true, deadlineAt: Infinity, usualMilliseconds },
      now,
    );
  t.ok(canFinish(1_000, 4_700));
  t.notOk(canFinish(1_000, 4_701));
  t.ok(canFinish(0, 7_699), "nothing is known of the service");
  t.notOk(canFinish(0, 7_700));
  t.end();
});

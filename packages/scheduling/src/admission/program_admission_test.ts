import { test } from "tap";
import {
  type SimulatedLoad,
  SimulatedPrograms,
} from "./mocks/simulated_programs.ts";
import { ProgramAdmission } from "./program_admission.ts";
import type { NewProgram } from "./start_order.ts";

function recordAge(
  admission: ProgramAdmission,
  ageMilliseconds: number,
  now: number,
): void {
  const command = { ageMilliseconds, expectedMilliseconds: 0 };
  admission.recordCommand(command, now);
}

/** Reports commands with the same wait, one every 5 ms. */
function recordWaits(
  admission: ProgramAdmission,
  milliseconds: number,
  span: { readonly from: number; readonly until: number },
): void {
  for (let now = span.from; now < span.until; now += 5) {
    recordAge(admission, milliseconds, now);
  }
}

function countAdmitted(admission: ProgramAdmission, now: number): number {
  let admitted = 0;
  for (let tried = 0; tried < 100; tried++) {
    if (admission.tryAdmit(now)) admitted++;
  }
  return admitted;
}

test("all programs are admitted while commands do not wait", (t) => {
  const admission = new ProgramAdmission();
  recordWaits(admission, 20, { from: 0, until: 5_000 });
  t.equal(countAdmitted(admission, 5_000), 100);
  t.end();
});

test("while commands keep waiting, few programs are admitted, but never none", (t) => {
  const admission = new ProgramAdmission();
  let admitted = 0;
  for (let now = 0; now < 10_000; now += 5) {
    recordAge(admission, now < 4_000 ? 5 : 300, now);
    if (admission.tryAdmit(now) && now >= 5_000) admitted++;
  }
  t.ok(admitted >= 100 && admitted <= 300, `${admitted} of 1,000`);
  t.ok(admission.findRetryAfter() > 1_500, "refused callers return late");
  recordWaits(admission, 5, { from: 10_000, until: 13_000 });
  t.equal(countAdmitted(admission, 13_000), 100, "all again 3 s later");
  t.equal(admission.findRetryAfter(), 200);
  t.end();
});

// Guards against refusals that cost more than the wait, as after a leader's snapshot.
test("a pause that delays only the commands within it causes no refusal", (t) => {
  const admission = new ProgramAdmission();
  recordWaits(admission, 5, { from: 0, until: 1_000 });
  for (let waited = 400; waited > 0; waited -= 5) {
    recordAge(admission, waited, 1_400);
  }
  recordWaits(admission, 5, { from: 1_405, until: 1_800 });
  t.equal(countAdmitted(admission, 1_800), 100);
  t.end();
});

test("a handful of slow commands of an idle leader causes no refusal", (t) => {
  const admission = new ProgramAdmission();
  for (let now = 0; now < 5_000; now += 100) recordAge(admission, 900, now);
  t.equal(countAdmitted(admission, 5_000), 100);
  t.end();
});

test("a quorum that is full limits new programs, a slow one does not", (t) => {
  const countAfter = (expectedMilliseconds: number) => {
    const admission = new ProgramAdmission();
    admission.recordCommit(300, 0);
    for (let now = 0; now < 5_000; now += 5) {
      const command = { ageMilliseconds: 0, expectedMilliseconds };
      admission.recordCommand(command, now);
    }
    return countAdmitted(admission, 5_000);
  };
  t.equal(countAfter(300), 100);
  t.ok(countAfter(700) < 10);
  t.end();
});

/** Leaders and programs of several speeds and lengths. */
const LOADS: readonly SimulatedLoad[] = [
  { commandsPerMillisecond: 1, commands: 12, pauseMilliseconds: 200 },
  { commandsPerMillisecond: 1.3, commands: 16, pauseMilliseconds: 150 },
  { commandsPerMillisecond: 1.3, commands: 16, pauseMilliseconds: 300 },
  { commandsPerMillisecond: 0.3, commands: 8, pauseMilliseconds: 120 },
];

// Guards against a leader that admits programs whose commands then wait so long that
// none of them ends in time.
for (const load of LOADS) {
  test(`three times the programs that a leader can carry leave most of those it can in time: ${load.commands} commands, ${load.pauseMilliseconds} ms apart`, (t) => {
    const leader = new SimulatedPrograms(new ProgramAdmission(), load);
    const { limit } = leader;
    leader.run({ programsPerSecond: 0.6 * limit, milliseconds: 5_000 });
    leader.run({ programsPerSecond: 3 * limit, milliseconds: 10_000 });
    leader.run({ programsPerSecond: 0.6 * limit, milliseconds: 20_000 });
    leader.run({ programsPerSecond: 0, milliseconds: 15_000 });
    const inBurst = leader.countInTime(5_000, 15_000) / 10;
    t.ok(inBurst >= 0.75 * limit, `${inBurst} of ${limit} a second`);
    const later = leader.countInTime(20_000, 35_000) / 15;
    t.ok(later >= 0.95 * 0.6 * limit, `${later} a second 5 s after it`);
    t.end();
  });
}

test("a leader with its usual load refuses nothing", (t) => {
  for (const load of LOADS) {
    const leader = new SimulatedPrograms(new ProgramAdmission(), load);
    const { limit } = leader;
    leader.run({ programsPerSecond: 0.85 * limit, milliseconds: 30_000 });
    t.equal(leader.refused, 0);
  }
  t.end();
});

// Guards against a limit far below what arrives, which refuses urgent programs of a burst.
test("the limit starts from the rate of the burst, not from an average before it", (t) => {
  const admission = new ProgramAdmission();
  let admitted = 0;
  for (let now = 0; now < 6_000; now += 10) {
    const isBurst = now >= 4_000;
    recordAge(admission, isBurst ? 300 : 5, now);
    if (!isBurst && now % 100 !== 0) continue;
    if (admission.tryAdmit(now) && now >= 5_000) admitted++;
  }
  t.ok(admitted >= 14, `${admitted} of 100 a second, of which 15 are left`);
  t.end();
});

test("of a limited rate, a program takes its cost", (t) => {
  const countAdmitted = (cost: number) => {
    const admission = new ProgramAdmission();
    const admitted = { dear: 0, cheap: 0 };
    for (let now = 0; now < 10_000; now += 5) {
      recordAge(admission, now < 4_000 ? 5 : 300, now);
      const isDear = now % 50 === 0;
      const program = {
        priority: 1,
        workspace: isDear ? "dear" : "cheap",
        weight: 1,
        cost: isDear ? cost : 1,
      };
      if (!admission.tryAdmit(now, program) || now < 6_000) continue;
      admitted[isDear ? "dear" : "cheap"]++;
    }
    return admitted;
  };
  const alike = countAdmitted(1);
  const dear = countAdmitted(10);
  t.ok(dear.dear > 0, `${dear.dear} of 80 that cost ten times as much`);
  t.ok(dear.dear <= alike.dear, `${dear.dear} and ${alike.dear}`);
  t.end();
});

/** Programs that ask to start at a fixed rate. */
interface Arrivals extends NewProgram {
  readonly everyMilliseconds: number;
}

/**
 * Lets programs ask to start at a leader whose commands are delayed, and returns how
 * many of each were admitted in the last 8 s of 10, a second.
 */
function admitWhileDelayed(
  arrivals: readonly Arrivals[],
  isDescribed = true,
): number[] {
  const admission = new ProgramAdmission();
  const admitted = arrivals.map(() => 0);
  for (let now = 0; now < 14_000; now++) {
    if (now % 5 === 0) recordAge(admission, now < 4_000 ? 5 : 300, now);
    for (const [index, arrival] of arrivals.entries()) {
      if (now % arrival.everyMilliseconds !== 0) continue;
      const program = isDescribed ? arrival : undefined;
      if (admission.tryAdmit(now, program) && now >= 6_000) admitted[index]++;
    }
  }
  return admitted.map((count) => count / 8);
}

// Guards against urgent programs that are refused because lesser ones came first.
test("of a limited rate, the more urgent priority takes first", (t) => {
  const arrivals = [
    { priority: 2, workspace: "lesser", weight: 1, everyMilliseconds: 6 },
    { priority: 0, workspace: "urgent", weight: 1, everyMilliseconds: 50 },
  ];
  const [lesser, urgent] = admitWhileDelayed(arrivals);
  t.ok(urgent >= 19.5, `${urgent} of 20 urgent programs a second`);
  t.ok(lesser > 0, `${lesser} lesser programs a second`);
  const [anyLesser, anyUrgent] = admitWhileDelayed(arrivals, false);
  const difference = lesser + urgent - anyLesser - anyUrgent;
  t.ok(Math.abs(difference) < 1, `${difference} a second more than without`);
  t.end();
});

// Guards against a workspace that takes the whole of a limited rate.
test("of a limited rate, workspaces take fair shares", (t) => {
  const arrivals = [
    { priority: 1, workspace: "flooding", weight: 1, everyMilliseconds: 6 },
    ...Array.from({ length: 5 }, (_, index) => ({
      priority: 1,
      workspace: `usual ${index}`,
      weight: 1,
      everyMilliseconds: 250 + index,
    })),
  ];
  const [flooding, ...usual] = admitWhileDelayed(arrivals);
  for (const rate of usual) t.ok(rate >= 3.5, `${rate} of 4 a second`);
  t.ok(flooding > 0, `${flooding} a second`);
  const any = admitWhileDelayed(arrivals, false);
  const sum = (rates: readonly number[]) =>
    rates.reduce((total, rate) => total + rate, 0);
  const difference = sum([flooding, ...usual]) - sum(any);
  t.ok(Math.abs(difference) < 1, `${difference} a second more than without`);
  t.end();
});

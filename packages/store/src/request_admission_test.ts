import { URGENCIES, type Urgency } from "@mallowlift/consensus";
import { test } from "tap";
import type { NewProgram } from "@mallowlift/scheduling";
import {
  type ReadRequest,
  REQUEST_REFUSALS,
  RequestAdmission,
  type RequestRefusal,
} from "./request_admission.ts";

/** A request that was read at once and whose caller waits for 1 s from time 0. */
function createRequest(urgency: Urgency, expectedMilliseconds = 0) {
  return {
    urgency,
    expectedMilliseconds,
    ageMilliseconds: 0,
    deadlineAt: 1_000,
  };
}

// Guards against a leader that is busy with commands for callers who have left.
test("nothing is proposed for a caller who has stopped to wait", (t) => {
  const admission = new RequestAdmission();
  for (const urgency of Object.values(URGENCIES)) {
    const request = createRequest(urgency);
    t.equal(admission.findRefusal(request, 999), undefined);
    t.equal(
      admission.findRefusal(request, 1_000),
      REQUEST_REFUSALS.EXPIRED,
    );
  }
  t.end();
});

test("a begin that cannot commit in time is refused, an end is not", (t) => {
  const admission = new RequestAdmission();
  const findRefusal = (urgency: Urgency) =>
    admission.findRefusal(createRequest(urgency, 600), 500);
  t.equal(findRefusal(URGENCIES.START), REQUEST_REFUSALS.LATE);
  t.equal(findRefusal(URGENCIES.CONTINUE), REQUEST_REFUSALS.LATE);
  t.equal(findRefusal(URGENCIES.FINISH), undefined);
  t.end();
});

/** Lets a request arrive and be read; returns why it is refused. */
function admit(
  admission: RequestAdmission,
  request: ReadRequest & { readonly program: NewProgram },
  now: number,
): RequestRefusal | undefined {
  const isLimited = request.urgency === URGENCIES.START &&
    !admission.tryStart(request.program, now);
  // Its delay counts also if it is refused: the test has no other commands.
  const refusal = admission.findRefusal(request, now);
  return isLimited ? REQUEST_REFUSALS.LIMITED : refusal;
}

test("only new programs are limited while commands wait", (t) => {
  const admission = new RequestAdmission();
  const refused = { start: 0, continue: 0, finish: 0 };
  for (let now = 0; now < 5_000; now += 5) {
    for (const urgency of Object.values(URGENCIES)) {
      const request = {
        urgency,
        expectedMilliseconds: 0,
        deadlineAt: Infinity,
      };
      const refusal = admit(admission, {
        ...request,
        ageMilliseconds: 400,
        program: { priority: 0, workspace: "", weight: 1 },
      }, now);
      if (refusal === REQUEST_REFUSALS.LIMITED) refused[urgency]++;
    }
  }
  t.ok(refused.start > 500, `${refused.start} of 1,000 new programs`);
  t.same({ ...refused, start: 0 }, { start: 0, continue: 0, finish: 0 });
  t.ok(admission.findProgramRetryAfter() > 1_000);
  t.end();
});

test("a program of an urgent priority is limited after those of lesser ones", (t) => {
  const admission = new RequestAdmission();
  const admitted = [0, 0];
  for (let now = 0; now < 10_000; now += 5) {
    const priority = now % 50 === 0 ? 0 : 1;
    const request = {
      urgency: URGENCIES.START,
      ageMilliseconds: now < 4_000 ? 5 : 400,
      expectedMilliseconds: 0,
      deadlineAt: Infinity,
      program: { priority, workspace: "north", weight: 1 },
    };
    const refusal = admit(admission, { ...request, priority }, now);
    if (refusal === undefined && now >= 6_000) admitted[priority]++;
  }
  t.ok(admitted[0] >= 78, `${admitted[0]} of 80 urgent programs`);
  t.ok(admitted[1] < 200, `${admitted[1]} of 720 lesser programs`);
  t.end();
});

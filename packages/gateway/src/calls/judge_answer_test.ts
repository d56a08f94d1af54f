import { RESULT_CODES } from "@mallowlift/core";
import { test } from "tap";
import type { AnswerFacts } from "../dialect.ts";
import { judgeAnswer } from "./judge_answer.ts";

function createFacts(more: Partial<AnswerFacts>): AnswerFacts {
  return {
    callId: "own",
    notRun: false,
    isOtherInstance: false,
    isGenuine: true,
    ...more,
  };
}

test("a late refusal of another request is no promise about this one", (t) => {
  for (const more of [{ notRun: true }, { isOtherInstance: true }]) {
    const facts = createFacts({ ...more, callId: "earlier" });
    t.same(judgeAnswer(facts, "own"), { belonging: "other" });
  }
  t.end();
});

test("a refusal of the own request is a promise, also without an id", (t) => {
  for (const callId of ["own", undefined]) {
    const full = judgeAnswer(createFacts({ callId, notRun: true }), "own");
    t.equal(full.belonging, "own");
    t.equal(full.notRun?.code, RESULT_CODES.QUEUE_FULL);
    const other = createFacts({ callId, isOtherInstance: true });
    t.equal(judgeAnswer(other, "own").notRun?.code, RESULT_CODES.NO_UPSTREAM);
  }
  t.end();
});

test("an answer that does not name its request, or is not genuine, is spoiled", (t) => {
  t.equal(judgeAnswer(createFacts({}), "own").belonging, "own");
  const unnamed = createFacts({ callId: undefined });
  t.equal(judgeAnswer(unnamed, "own").belonging, "spoiled");
  const forged = createFacts({ isGenuine: false });
  t.equal(judgeAnswer(forged, "own").belonging, "spoiled");
  t.end();
});

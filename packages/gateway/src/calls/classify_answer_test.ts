import { RESULT_CODES } from "@mallowlift/core";
import { test } from "tap";
import type { AnswerFacts } from "../dialect.ts";
import { classifyAnswer } from "./classify_answer.ts";

function createFacts(more: Partial<AnswerFacts>): AnswerFacts {
  return {
    callId: "own",
    answerId: undefined,
    notRun: false,
    isWrongInstance: false,
    isGenuine: true,
    ...more,
  };
}

test("a late refusal of another request does not apply to this one", (t) => {
  for (const more of [{ notRun: true }, { isWrongInstance: true }]) {
    const facts = createFacts({ ...more, callId: "earlier" });
    t.same(classifyAnswer(facts, "own"), { match: "other" });
  }
  t.end();
});

test("a refusal of the same request is accepted with and without a call id", (t) => {
  for (const callId of ["own", undefined]) {
    const full = classifyAnswer(createFacts({ callId, notRun: true }), "own");
    t.equal(full.match, "own");
    t.equal(full.notRun?.code, RESULT_CODES.QUEUE_FULL);
    const other = createFacts({ callId, isWrongInstance: true });
    t.equal(
      classifyAnswer(other, "own").notRun?.code,
      RESULT_CODES.NO_UPSTREAM,
    );
  }
  t.end();
});

test("an answer without a call id, or one that is not genuine, is rejected", (t) => {
  t.equal(classifyAnswer(createFacts({}), "own").match, "own");
  const unnamed = createFacts({ callId: undefined });
  t.equal(classifyAnswer(unnamed, "own").match, "spoiled");
  const notGenuine = createFacts({ isGenuine: false });
  t.equal(classifyAnswer(notGenuine, "own").match, "spoiled");
  t.end();
});

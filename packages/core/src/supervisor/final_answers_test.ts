import { test } from "tap";
import { findFinalAnswersStart } from "./final_answers.ts";

test("final answers begin before the end, and in a short stop at half of it", (t) => {
  t.equal(findFinalAnswersStart(100, 8_100), 7_100);
  t.equal(findFinalAnswersStart(0, 100), 50);
  t.equal(findFinalAnswersStart(7, 7), 7);
  t.equal(findFinalAnswersStart(7, 3), 7);
  t.end();
});

import { createMetrics } from "@mallowlift/core";
import { test } from "tap";
import { BodyBudget } from "./body_budget.ts";

// Guards against bodies whose sum nothing bounds, and one holder that takes all.
test("the sum of bodies is bounded, and who holds much is refused first", (t) => {
  const budget = new BodyBudget(100, createMetrics());
  const first = budget.open("north");
  t.ok(first.add(40));
  t.ok(first.add(10));
  t.notOk(budget.open("north").add(10), "the holder has half of the limit");
  const other = budget.open("south");
  t.ok(other.add(25));
  t.notOk(other.add(10));
  t.equal(budget.heldBytes, 75);
  first.release();
  first.release();
  t.equal(budget.heldBytes, 25);
  t.ok(budget.open("north").add(75));
  t.equal(budget.heldBytes, 100);
  t.end();
});

import { test } from "tap";
import type { OpenCall } from "./open_call.ts";
import { findPrecedence } from "./request_precedence.ts";

function createCall(finishMilliseconds: number): OpenCall {
  const parts = {
    arrivedAt: 1_000,
    facts: { finishMilliseconds },
    route: { priority: 2 },
    workspace: { priority: 1 },
  };
  return { parts } as unknown as OpenCall;
}

test("the precedence is that of the workspace and the route, and of the time left", (t) => {
  t.same(findPrecedence(createCall(500), 1_499), {
    priority: 12,
    isLate: false,
  });
  t.same(findPrecedence(createCall(500), 1_500), {
    priority: 12,
    isLate: true,
  });
  t.equal(findPrecedence(createCall(Infinity), 1e9).isLate, false);
  t.end();
});

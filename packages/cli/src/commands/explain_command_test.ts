import { test } from "tap";
import { createExplanation, readLogLines } from "./explain_command.ts";

const START = Date.parse("2026-12-02T10:00:00.000Z");

function formatLogLine(
  offsetMilliseconds: number,
  name: string,
  msg: string,
  fields: object,
): string {
  const time = new Date(START + offsetMilliseconds).toISOString();
  return JSON.stringify({ name, level: 30, ...fields, msg, time });
}

const LOG = [
  formatLogLine(0, "g1", "follower: Leader found", { store: "s1" }),
  formatLogLine(100, "g2", "follower: Leader lost", { store: "s1" }),
  formatLogLine(5_000, "g1", "follower: Leader lost", {
    store: "s1",
    reason: "TIMEOUT",
  }),
  formatLogLine(5_900, "g1", "calls: Turn refused", {
    call: "c1",
    reason: "NO_LEADER",
  }),
  formatLogLine(5_901, "g1", "calls: Call ended", {
    call: "c1",
    code: "NO_QUORUM",
    status: 503,
  }),
  formatLogLine(6_000, "g1", "calls: Attempt failed", {
    call: "c2",
    upstream: "i-1",
    outcome: "lost",
    reason: "The connection closed",
  }),
  formatLogLine(6_001, "g1", "calls: Call ended", {
    call: "c2",
    code: "ANSWER_SPOILED",
    status: 502,
  }),
  formatLogLine(6_100, "g1", "calls: Call ended", {
    call: "c3",
    code: "OK",
    status: 200,
    upstream: "i-2",
    milliseconds: 40,
  }),
  formatLogLine(6_200, "s1", "owner: Budget spent", {
    call: "c4",
    budget: 100,
    spent: 80,
    reserved: 24,
    open_turns: 2,
  }),
  formatLogLine(6_201, "g1", "calls: Call ended", {
    call: "c4",
    code: "BUDGET_EXCEEDED",
    status: 402,
  }),
  formatLogLine(12_300, "g1", "daemon: Stood still", { milliseconds: 6_000 }),
  formatLogLine(12_310, "g1", "calls: Call ended", {
    call: "c5",
    code: "CALLER_LEFT",
    status: 0,
  }),
  "  12.5 g1 {cut off in the mid",
].join("\n");

test("the explanation of a refused request names the leader that its gateway had lost", (t) => {
  const explanation = createExplanation(readLogLines(LOG), "c1");
  t.match(explanation?.verdict, /NO_QUORUM, so it did not run/);
  t.match(explanation?.verdict, /lost the leader s1 \(TIMEOUT\)/);
  t.ok(explanation?.lines.every((line) => line.name === "g1"));
  t.end();
});

test("the explanation of a lost answer names the upstream and says that the call may have run", (t) => {
  const explanation = createExplanation(readLogLines(LOG), "c2");
  t.match(explanation?.verdict, /ANSWER_SPOILED, so it may have run/);
  t.match(explanation?.verdict, /at i-1, ended as lost: The connection closed/);
  t.end();
});

test("an answered request is explained, and a request without log lines is not found", (t) => {
  const lines = readLogLines(LOG);
  t.match(
    createExplanation(lines, "c3")?.verdict,
    /status 200 by i-2 after 40 ms/,
  );
  t.equal(createExplanation(lines, "c9"), undefined);
  t.end();
});

test("the explanation of a spent budget names the spent and the reserved tokens", (t) => {
  const explanation = createExplanation(readLogLines(LOG), "c4");
  t.match(explanation?.verdict, /BUDGET_EXCEEDED, so it did not run/);
  t.match(
    explanation?.verdict,
    /of 100 tokens 80 were spent and 24 reserved for 2/,
  );
  t.end();
});

test("the explanation of a call at a stalled gateway names the length of the stall", (t) => {
  const explanation = createExplanation(readLogLines(LOG), "c5");
  t.match(explanation?.verdict, /its gateway stood still for 6000 ms/);
  t.end();
});

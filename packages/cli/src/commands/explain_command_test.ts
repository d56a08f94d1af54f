import { test } from "tap";
import { explainCall, readLogLines } from "./explain_command.ts";

const START = Date.parse("2026-12-02T10:00:00.000Z");

function write(at: number, name: string, msg: string, facts: object): string {
  const time = new Date(START + at).toISOString();
  return JSON.stringify({ name, level: 30, ...facts, msg, time });
}

const LOG = [
  write(0, "g1", "follower: Leader found", { store: "s1" }),
  write(100, "g2", "follower: Leader lost", { store: "s1" }),
  write(5_000, "g1", "follower: Leader lost", {
    store: "s1",
    reason: "TIMEOUT",
  }),
  write(5_900, "g1", "calls: Turn refused", {
    call: "c1",
    reason: "NO_LEADER",
  }),
  write(5_901, "g1", "calls: Call ended", {
    call: "c1",
    code: "NO_QUORUM",
    status: 503,
  }),
  write(6_000, "g1", "calls: Attempt failed", {
    call: "c2",
    upstream: "i-1",
    outcome: "lost",
    reason: "The connection closed",
  }),
  write(6_001, "g1", "calls: Call ended", {
    call: "c2",
    code: "ANSWER_SPOILED",
    status: 502,
  }),
  write(6_100, "g1", "calls: Call ended", {
    call: "c3",
    code: "OK",
    status: 200,
    upstream: "i-2",
    milliseconds: 40,
  }),
  write(6_200, "s1", "owner: Budget spent", {
    call: "c4",
    budget: 100,
    spent: 80,
    reserved: 24,
    open_turns: 2,
  }),
  write(6_201, "g1", "calls: Call ended", {
    call: "c4",
    code: "BUDGET_EXCEEDED",
    status: 402,
  }),
  write(12_300, "g1", "daemon: Stood still", { milliseconds: 6_000 }),
  write(12_310, "g1", "calls: Call ended", {
    call: "c5",
    code: "CALLER_LEFT",
    status: 0,
  }),
  "  12.5 g1 {cut off in the mid",
].join("\n");

test("the story of a refusal names what its gateway had lost", (t) => {
  const story = explainCall(readLogLines(LOG), "c1");
  t.match(story?.verdict, /NO_QUORUM, so it did not run/);
  t.match(story?.verdict, /lost the leader s1 \(TIMEOUT\)/);
  t.ok(story?.lines.every((line) => line.name === "g1"));
  t.end();
});

test("the story of a lost answer names the upstream and says that it may have run", (t) => {
  const story = explainCall(readLogLines(LOG), "c2");
  t.match(story?.verdict, /ANSWER_SPOILED, so it may have run/);
  t.match(story?.verdict, /at i-1, ended as lost: The connection closed/);
  t.end();
});

test("an answered request, and one that no line names", (t) => {
  const lines = readLogLines(LOG);
  t.match(explainCall(lines, "c3")?.verdict, /status 200 by i-2 after 40 ms/);
  t.equal(explainCall(lines, "c9"), undefined);
  t.end();
});

test("the story of a spent budget names what was spent and reserved", (t) => {
  const story = explainCall(readLogLines(LOG), "c4");
  t.match(story?.verdict, /BUDGET_EXCEEDED, so it did not run/);
  t.match(story?.verdict, /of 100 tokens 80 were spent and 24 reserved for 2/);
  t.end();
});

test("the story of a call at a frozen gateway names how long it stood still", (t) => {
  const story = explainCall(readLogLines(LOG), "c5");
  t.match(story?.verdict, /its gateway stood still for 6000 ms/);
  t.end();
});

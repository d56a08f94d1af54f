import { test } from "tap";
import { KnownPrograms } from "./known_programs.ts";

const LESSER = { priority: 2, isLate: false };
const URGENT = { priority: 0, isLate: false };

// Guards against an urgent program whose tool calls wait behind lesser programs.
test("a tool call is as urgent as its program", (t) => {
  const programs = new KnownPrograms();
  programs.record("urgent", URGENT);
  programs.record("lesser", { priority: 5, isLate: false });
  programs.record("", URGENT);
  t.same(programs.findPrecedence("urgent", LESSER), URGENT);
  t.same(programs.findPrecedence("lesser", LESSER), LESSER, "never less");
  t.same(programs.findPrecedence("unknown", LESSER), LESSER);
  t.same(programs.findPrecedence("", LESSER), LESSER);
  t.end();
});

test("the programs without a call for the longest are dropped", (t) => {
  const programs = new KnownPrograms();
  for (let number = 0; number < 4_097; number++) {
    if (number === 4_000) programs.record("0", URGENT);
    programs.record(String(number), URGENT);
  }
  t.ok(programs.has("0"));
  t.notOk(programs.has("1"));
  t.ok(programs.has("2"));
  t.end();
});

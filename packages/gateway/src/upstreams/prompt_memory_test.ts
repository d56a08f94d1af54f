import { test } from "tap";
import { PromptMemory, type PromptPart } from "./prompt_memory.ts";

function createParts(...ids: readonly string[]): readonly PromptPart[] {
  return ids.map((id) => ({ id, tokens: 100 }));
}

test("the next turn and a helper go where their prompt was read", (t) => {
  const memory = new PromptMemory();
  memory.note(createParts("shared", "a1"), "u-1");
  memory.note(createParts("shared", "b1"), "u-2");
  t.equal(memory.find(createParts("shared", "a1", "a2")), "u-1");
  memory.note(createParts("shared", "a1", "a2"), "u-1");
  t.equal(memory.find(createParts("shared", "a1", "a2", "helper")), "u-1");
  t.equal(memory.find(createParts("other")), "");
  t.end();
});

test("a turn that had to go elsewhere is followed there", (t) => {
  const memory = new PromptMemory();
  memory.note(createParts("a1"), "u-1");
  memory.note(createParts("a1", "a2"), "u-2");
  t.equal(memory.find(createParts("a1", "a2", "a3")), "u-2");
  t.end();
});

test("what all programs share draws none of them anywhere", (t) => {
  const memory = new PromptMemory();
  for (const upstream of ["u-1", "u-2", "u-3"]) {
    memory.note(createParts("shared", `own-${upstream}`), upstream);
  }
  t.equal(memory.find(createParts("shared", "new")), "");
  t.equal(memory.find(createParts("shared", "own-u-2", "new")), "u-2");
  t.end();
});

test("the parts that were sent longest ago are forgotten first", (t) => {
  const memory = new PromptMemory();
  memory.note(createParts("old"), "u-1");
  memory.note(createParts("kept"), "u-1");
  for (let turn = 0; turn < 8_191; turn++) {
    memory.note(createParts(`t${turn}`), "u-2");
    if (turn === 4_000) memory.note(createParts("kept"), "u-1");
  }
  t.equal(memory.find(createParts("old")), "");
  t.equal(memory.find(createParts("kept")), "u-1");
  t.end();
});

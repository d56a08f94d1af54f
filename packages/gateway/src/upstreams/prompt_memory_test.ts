import { test } from "tap";
import { PromptMemory, type PromptPart } from "./prompt_memory.ts";

function createParts(...ids: readonly string[]): readonly PromptPart[] {
  return ids.map((id) => ({ id, tokens: 100 }));
}

test("the next turn and a child program prefer the upstream that has their prompt", (t) => {
  const memory = new PromptMemory();
  memory.record(createParts("shared", "a1"), "u-1");
  memory.record(createParts("shared", "b1"), "u-2");
  t.equal(memory.find(createParts("shared", "a1", "a2")), "u-1");
  memory.record(createParts("shared", "a1", "a2"), "u-1");
  t.equal(memory.find(createParts("shared", "a1", "a2", "helper")), "u-1");
  t.equal(memory.find(createParts("other")), "");
  t.end();
});

test("the upstream that last received a prompt is preferred", (t) => {
  const memory = new PromptMemory();
  memory.record(createParts("a1"), "u-1");
  memory.record(createParts("a1", "a2"), "u-2");
  t.equal(memory.find(createParts("a1", "a2", "a3")), "u-2");
  t.end();
});

test("a part that most programs share does not influence the choice", (t) => {
  const memory = new PromptMemory();
  for (const upstream of ["u-1", "u-2", "u-3"]) {
    memory.record(createParts("shared", `own-${upstream}`), upstream);
  }
  t.equal(memory.find(createParts("shared", "new")), "");
  t.equal(memory.find(createParts("shared", "own-u-2", "new")), "u-2");
  t.end();
});

test("the least recently sent parts are evicted first", (t) => {
  const memory = new PromptMemory();
  memory.record(createParts("old"), "u-1");
  memory.record(createParts("kept"), "u-1");
  for (let turn = 0; turn < 8_191; turn++) {
    memory.record(createParts(`t${turn}`), "u-2");
    if (turn === 4_000) memory.record(createParts("kept"), "u-1");
  }
  t.equal(memory.find(createParts("old")), "");
  t.equal(memory.find(createParts("kept")), "u-1");
  t.end();
});

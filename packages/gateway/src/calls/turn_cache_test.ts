import { Buffer } from "node:buffer";
import type { TurnRecord } from "@mallowlift/core";
import { test } from "tap";
import { TurnCache } from "./turn_cache.ts";

const SIZE = 1_000;

function createTurn(turnId: string, previousId = ""): TurnRecord {
  const input = Buffer.alloc(SIZE);
  return {
    turnId,
    previousId,
    input,
    output: Buffer.alloc(0),
    upstream: "u",
  };
}

test("only turns whose whole chain is cached are listed as known", (t) => {
  const cache = new TurnCache(100 * SIZE);
  cache.put(createTurn("a"), "p");
  cache.put(createTurn("b", "a"), "p");
  cache.put(createTurn("d", "c"), "p");
  cache.put(createTurn("e"), "q");
  t.same(cache.listCompleteTurnIds("p"), ["a", "b"]);
  t.same(cache.listCompleteTurnIds("q"), ["e"]);
  t.same(cache.listCompleteTurnIds("r"), []);
  cache.put(createTurn("c", "b"), "p");
  t.same(cache.listCompleteTurnIds("p"), ["a", "b", "d", "c"]);
  t.same(cache.listChain("d")?.map((turn) => turn.turnId), [
    "a",
    "b",
    "c",
    "d",
  ]);
  t.end();
});

test("only the newest turns of a program are listed", (t) => {
  const cache = new TurnCache(100 * SIZE);
  cache.put(createTurn("0"), "p");
  for (let number = 1; number < 20; number++) {
    cache.put(createTurn(`${number}`, `${number - 1}`), "p");
  }
  const known = cache.listCompleteTurnIds("p");
  t.equal(known.length, 8);
  t.equal(known.at(-1), "19");
  t.end();
});

test("an evicted turn is not listed, and a program without turns is removed", (t) => {
  const cache = new TurnCache(3 * SIZE);
  cache.put(createTurn("a"), "p");
  cache.put(createTurn("b", "a"), "p");
  cache.put(createTurn("c"), "q");
  t.equal(cache.findMissingTurnId("b"), "a");
  t.same(cache.listCompleteTurnIds("p"), []);
  t.equal(cache.listChain("b"), undefined);
  t.same(cache.listCompleteTurnIds("q"), ["c"]);
  t.end();
});

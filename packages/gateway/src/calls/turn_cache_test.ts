import { Buffer } from "node:buffer";
import type { KeptTurn } from "@mallowlift/core";
import { test } from "tap";
import { TurnCache } from "./turn_cache.ts";

const SIZE = 1_000;

function createTurn(turnId: string, previousId = ""): KeptTurn {
  const input = Buffer.alloc(SIZE);
  return {
    turnId,
    previousId,
    input,
    output: Buffer.alloc(0),
    upstream: "u",
  };
}

test("only turns with all before them are told as known", (t) => {
  const cache = new TurnCache(100 * SIZE);
  cache.put(createTurn("a"), "p");
  cache.put(createTurn("b", "a"), "p");
  cache.put(createTurn("d", "c"), "p");
  cache.put(createTurn("e"), "q");
  t.same(cache.listWhole("p"), ["a", "b"]);
  t.same(cache.listWhole("q"), ["e"]);
  t.same(cache.listWhole("r"), []);
  cache.put(createTurn("c", "b"), "p");
  t.same(cache.listWhole("p"), ["a", "b", "d", "c"]);
  t.same(cache.listChain("d")?.map((turn) => turn.turnId), [
    "a",
    "b",
    "c",
    "d",
  ]);
  t.end();
});

test("the newest few turns of a program are told", (t) => {
  const cache = new TurnCache(100 * SIZE);
  cache.put(createTurn("0"), "p");
  for (let number = 1; number < 20; number++) {
    cache.put(createTurn(`${number}`, `${number - 1}`), "p");
  }
  const known = cache.listWhole("p");
  t.equal(known.length, 8);
  t.equal(known.at(-1), "19");
  t.end();
});

test("a turn that was dropped is not told, and its program is forgotten", (t) => {
  const cache = new TurnCache(3 * SIZE);
  cache.put(createTurn("a"), "p");
  cache.put(createTurn("b", "a"), "p");
  cache.put(createTurn("c"), "q");
  t.equal(cache.findMissing("b"), "a");
  t.same(cache.listWhole("p"), []);
  t.equal(cache.listChain("b"), undefined);
  t.same(cache.listWhole("q"), ["c"]);
  t.end();
});

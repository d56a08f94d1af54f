import { Buffer } from "node:buffer";
import type { BeginTurn, BeginTurnReply, TurnRecord } from "@mallowlift/core";
import { test } from "tap";
import { Ok } from "ts-results";
import { TurnCache } from "./turn_cache.ts";
import {
  fetchHistory,
  type HistoryMismatch,
  isWholeHistory,
} from "./turn_history.ts";

const CACHE_BYTES = 10_000;
const TURN = { programId: "p", previousId: "c" };

function createTurn(
  turnId: string,
  previousId: string,
  input = `in-${turnId}`,
): TurnRecord {
  return {
    turnId,
    previousId,
    input: Buffer.from(input),
    output: Buffer.from(`out-${turnId}`),
    upstream: "u",
  };
}

const A = createTurn("a", "");
const B = createTurn("b", "a");
const C = createTurn("c", "b");
const BYTES = 27;

type Cached = Pick<BeginTurn, "missingFrom" | "knownTurns">;

/** Fetches the history of {@linkcode TURN} from stores with the given replies. */
async function fetch(
  replies: readonly BeginTurnReply[],
  cached: readonly TurnRecord[] = [],
) {
  const cache = new TurnCache(CACHE_BYTES);
  for (const turn of cached) cache.put(turn, TURN.programId);
  const asked: Cached[] = [];
  const mismatches: HistoryMismatch[] = [];
  const fetched = await fetchHistory(TURN, {
    cache,
    begin: (request) => {
      const reply = replies[asked.length] ?? { turns: [] };
      asked.push(request);
      return Promise.resolve(Ok(reply));
    },
    onMismatch: (mismatch) => mismatches.push(mismatch),
  });
  const found = fetched.ok
    ? fetched.val.chain.map(({ turnId, input }) => `${turnId} ${input}`)
    : fetched.val.code.name;
  return { found, asked, mismatches, cache };
}

const WHOLE = ["a in-a", "b in-b", "c in-c"];

test("a history is completed from the cache and the stores", async (t) => {
  const reply = { turns: [C, B], historyBytes: BYTES };
  const { found, asked, mismatches } = await fetch([reply], [A]);
  t.same(found, WHOLE);
  t.same(asked, [{ missingFrom: "c", knownTurns: ["a"] }]);
  t.equal(mismatches.length, 0);
});

// Guards against a prompt without the start of its history: the stores returned the
// turns that were left of it.
test("a history without its start is refused", async (t) => {
  const incomplete = { turns: [C, B], historyBytes: BYTES };
  const { found, asked, mismatches } = await fetch([incomplete, incomplete]);
  t.equal(found, "HISTORY_INCOMPLETE");
  t.equal(asked.length, 2);
  t.equal(mismatches.length, 1);
  const untold = await fetch([{ turns: [C, B] }, { turns: [C, B] }]);
  t.equal(untold.found, "HISTORY_INCOMPLETE", "also by an earlier release");
});

test("a history with a gap or another end is refused", async (t) => {
  for (const turns of [[C, A], [B, A], [], [C, B, A, A]]) {
    const reply = { turns, historyBytes: BYTES };
    const { found } = await fetch([{ turns: [], historyBytes: BYTES }, reply]);
    t.equal(found, "HISTORY_INCOMPLETE", `${turns.length} turns`);
  }
});

// Guards against two gateways that run one program with two different histories.
test("a cached history that differs from that of the stores is fetched again", async (t) => {
  const other = createTurn("b", "a", "another input");
  const full = { turns: [C, B, A], historyBytes: BYTES };
  const { found, asked, mismatches, cache } = await fetch(
    [{ turns: [], historyBytes: BYTES }, full],
    [A, other, C],
  );
  t.same(found, WHOLE);
  t.same(asked.at(1), { missingFrom: "c", knownTurns: [] });
  t.ok(mismatches[0]?.isCached);
  t.equal(mismatches[0]?.expectedBytes, BYTES);
  t.equal(cache.findMissingTurnId("c"), "c", "the cached turns are dropped");
});

test("a history too large for the cache is used as it was fetched", async (t) => {
  const large = createTurn("a", "", "x".repeat(2 * CACHE_BYTES));
  const historyBytes = BYTES - 4 + 2 * CACHE_BYTES;
  const reply = { turns: [C, B, large], historyBytes };
  const { found, mismatches } = await fetch([reply, reply]);
  t.equal(found.length, WHOLE.length);
  t.equal(mismatches.length, 0);
});

test("the first turn of a chain has no history", (t) => {
  t.ok(isWholeHistory([], { previousId: "", bytes: 0 }));
  t.notOk(isWholeHistory([A], { previousId: "", bytes: 0 }));
  t.end();
});

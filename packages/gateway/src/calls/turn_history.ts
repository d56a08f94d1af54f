/** Completes the history of a turn from the cache of the gateway and from the stores. */

import {
  type BeginTurn,
  type BeginTurnReply,
  fail,
  type Outcome,
  RESULT_CODES,
  type TurnRecord,
} from "@mallowlift/core";
import { Ok } from "ts-results";
import { measureTurns, type TurnCache } from "./turn_cache.ts";

/** The turn whose history is fetched. */
export interface ContinuingTurn {
  readonly programId: string;
  /** Turn that this one continues; empty at the start of a turn chain. */
  readonly previousId: string;
}

/** A history that differs from the one that the stores keep. */
export interface HistoryMismatch {
  readonly isCached: boolean;
  readonly turns: number;
  readonly bytes: number;
  /** Bytes that the stores keep; undefined if they did not tell. */
  readonly expectedBytes: number | undefined;
}

/** Where a history comes from. */
export interface HistorySource {
  readonly cache: TurnCache;
  /** Begins the turn at the stores; idempotent. */
  readonly begin: (
    cached: Pick<BeginTurn, "missingFrom" | "knownTurns">,
  ) => Promise<Outcome<BeginTurnReply>>;
  readonly onMismatch: (mismatch: HistoryMismatch) => void;
}

/** A turn that has begun. */
export interface FetchedHistory {
  /** The turns that it continues, oldest first. */
  readonly chain: readonly TurnRecord[];
  /** The first reply of the stores. */
  readonly reply: BeginTurnReply;
}

/**
 * Begins a turn and returns its whole history; HISTORY_INCOMPLETE if the stores return
 * less than that, after which the turn is to be settled.
 *
 * @example
 * ```ts
 * const fetched = await fetchHistory({ programId: "p", previousId: "turn-6" }, source);
 * if (fetched.ok) joinPrompt(fetched.val.chain, input);
 * ```
 */
export async function fetchHistory(
  turn: ContinuingTurn,
  source: HistorySource,
): Promise<Outcome<FetchedHistory>> {
  const { programId, previousId } = turn;
  const { cache, begin, onMismatch } = source;
  const begun = await begin({
    missingFrom: cache.findMissingTurnId(previousId),
    knownTurns: cache.listCompleteTurnIds(programId),
  });
  if (begun.err) return begun;
  const reply = begun.val;
  for (const record of reply.turns) cache.put(record, programId);
  const cached = cache.listChain(previousId);
  const expected = { previousId, bytes: reply.historyBytes };
  if (cached !== undefined) {
    if (isWholeHistory(cached, expected)) return Ok({ chain: cached, reply });
    onMismatch(describeMismatch(cached, reply, true));
    cache.dropChain(previousId);
  }
  // Cached turns may have been evicted during the request. A history that is
  // too large for the cache is used as it was fetched.
  const full = await begin({ missingFrom: previousId, knownTurns: [] });
  if (full.err) return full;
  const chain = full.val.turns.toReversed();
  const { historyBytes: bytes } = full.val;
  if (isWholeHistory(chain, { previousId, bytes })) return Ok({ chain, reply });
  onMismatch(describeMismatch(chain, full.val, false));
  const code = RESULT_CODES.HISTORY_INCOMPLETE;
  return fail(code, code.meaning);
}

/**
 * True if turns, oldest first, lead without a gap from the start of a chain to the
 * named turn, and have the length that the stores keep of it.
 *
 * @example
 * ```ts
 * isWholeHistory([], { previousId: "", bytes: 0 }); // true
 * isWholeHistory([], { previousId: "turn-6", bytes: 9 }); // false
 * ```
 */
export function isWholeHistory(
  chain: readonly TurnRecord[],
  expected: {
    readonly previousId: string;
    /** Undefined if the stores did not tell. */
    readonly bytes: number | undefined;
  },
): boolean {
  let latest = "";
  for (const turn of chain) {
    if (turn.previousId !== latest) return false;
    latest = turn.turnId;
  }
  if (latest !== expected.previousId) return false;
  return expected.bytes === undefined || expected.bytes === measureTurns(chain);
}

function describeMismatch(
  chain: readonly TurnRecord[],
  reply: BeginTurnReply,
  isCached: boolean,
): HistoryMismatch {
  return {
    isCached,
    turns: chain.length,
    bytes: measureTurns(chain),
    expectedBytes: reply.historyBytes,
  };
}

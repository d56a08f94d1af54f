import { Buffer } from "node:buffer";
import type { TurnRecord } from "@mallowlift/core";
import fc from "fast-check";
import { test } from "tap";
import { encodeSiteSnapshot } from "./site_snapshot.ts";
import type { BeginCommand, EndCommand, SiteResult } from "./site_commands.ts";
import { SiteState } from "./site_state.ts";
import type { StoredTurn } from "./turn_tree.ts";

const SEED = 1;
const RUNS = 2_000;
const OPEN_MILLISECONDS = 40_000;
const RETENTION_MILLISECONDS = 10_000;
/** Time in which the commit of an end may follow the deadline of its turn, ms. */
const COMMIT_MILLISECONDS = 5_000;
/** Time after which a state that serves no commands has dropped all turns, ms. */
const LATER_MILLISECONDS = 3_600_000;

function begin(
  turnId: string,
  overrides: Partial<BeginCommand> = {},
): BeginCommand {
  return {
    kind: "begin",
    at: 0,
    turnId,
    programId: "p",
    previousId: "",
    tokenBudget: -1,
    mostTokens: 1,
    openMilliseconds: OPEN_MILLISECONDS,
    ...overrides,
  };
}

function end(turnId: string, overrides: Partial<EndCommand> = {}): EndCommand {
  return {
    kind: "end",
    at: 0,
    turnId,
    programId: "p",
    previousId: "",
    whole: true,
    tokens: 1,
    input: Buffer.from(`in-${turnId};`),
    output: Buffer.from(`out-${turnId};`),
    upstream: "u",
    retentionMilliseconds: RETENTION_MILLISECONDS,
    ...overrides,
  };
}

/** Settles a turn that was not run, so that the site time advances. */
function passTime(state: SiteState, at: number): void {
  state.apply(end(`time-${at}`, { at, whole: false, programId: "other" }));
}

function copyState(state: SiteState): SiteState {
  const copy = new SiteState();
  copy.restore(Buffer.concat([...state.takeSnapshot()]));
  return copy;
}

function joinHistory(state: SiteState, turnId: string): string {
  const chain = state.turns.listChain(turnId) ?? [];
  return chain.toReversed().map((turn) => `${turn.input}${turn.output}`)
    .join("");
}

// Guards against turns that run without the earlier part of their history: it expired
// while a turn that continued it was open.
test("a history is kept while a turn that continues it may be open", (t) => {
  const history = "in-a;out-a;in-b;out-b;in-c;out-c;";
  const forms: Record<string, (state: SiteState) => SiteState> = {
    "no trouble": (state) => state,
    "a restart": copyState,
    "a shorter turn from the same one": (state) => {
      state.apply(begin("short", { previousId: "b", at: 9_500 }));
      state.apply(end("short", { previousId: "b", at: 10_000 }));
      return state;
    },
  };
  for (const [name, disrupt] of Object.entries(forms)) {
    let state = new SiteState();
    state.apply(end("a", { at: 0 }));
    state.apply(end("b", { previousId: "a", at: 0 }));
    state.apply(begin("c", { previousId: "b", at: 9_000 }));
    state = disrupt(state);
    for (let at = 10_000; at < 49_000; at += 1_000) passTime(state, at);
    t.equal(state.apply(end("c", { previousId: "b", at: 49_000 })).code, "OK");
    const next = begin("d", { previousId: "c", at: 59_000 });
    t.equal(state.apply(next).code, "OK", name);
    t.equal(joinHistory(state, "c"), history, name);
  }
  t.end();
});

test("an open turn keeps a history only for as long as it may be open", (t) => {
  const state = new SiteState();
  state.apply(end("a"));
  state.apply(begin("b", { previousId: "a", at: 9_000 }));
  passTime(state, 49_000);
  t.ok(state.turns.has("a"));
  passTime(state, LATER_MILLISECONDS);
  t.equal(state.turns.size, 0);
  t.end();
});

test("a turn whose history is gone does not end well and cannot be continued", (t) => {
  const state = new SiteState();
  state.apply(end("a"));
  state.apply(begin("b", { previousId: "a", openMilliseconds: 1 }));
  passTime(state, LATER_MILLISECONDS);
  const late = end("b", { previousId: "a", at: LATER_MILLISECONDS });
  t.equal(state.apply(late).code, "HISTORY_INCOMPLETE");
  t.notOk(state.isRedundant(late));
  t.equal(state.apply(late).code, "HISTORY_INCOMPLETE", "a retry");
  const next = begin("c", { previousId: "b", at: LATER_MILLISECONDS });
  t.equal(state.apply(next).code, "HISTORY_INCOMPLETE");
  t.equal(state.budgets.describe("p").spent, 1, "its tokens count");
  t.end();
});

test("a turn from a history that an earlier release kept in part is refused", (t) => {
  const turns: StoredTurn[] = [["b", "a"], ["c", "b"], ["x", ""]].map((
    [turnId = "", previousId = ""],
  ) => ({
    turnId,
    previousId,
    input: Buffer.from("in"),
    output: Buffer.from("out"),
    upstream: "u",
    expiresAt: RETENTION_MILLISECONDS,
  }));
  const state = new SiteState();
  state.restore(Buffer.concat([
    ...encodeSiteSnapshot({
      document: undefined,
      turns,
      budgets: [],
      retiring: [],
      time: 1,
    }),
  ]));
  const continueFrom = (previousId: string) =>
    state.apply(begin(`after-${previousId}`, { previousId, at: 1 })).code;
  t.equal(continueFrom("c"), "HISTORY_INCOMPLETE");
  t.equal(continueFrom("b"), "HISTORY_INCOMPLETE");
  t.equal(continueFrom("a"), "TURN_NOT_FOUND");
  t.equal(continueFrom("x"), "OK");
  t.equal(state.turns.listChain("c"), undefined);
  t.equal(state.turns.measureChain("c"), undefined);
  t.end();
});

// Guards against a repeated begin that is answered from the budget alone.
test("a repeated begin is redundant only while its history is held for it", (t) => {
  const state = new SiteState();
  state.apply(end("a"));
  const first = begin("b", { previousId: "a", at: 1_000 });
  state.apply(first);
  t.ok(state.isRedundant(first));
  t.ok(state.isRedundant({ ...first, at: 3_000 }), "a retry");
  t.notOk(state.isRedundant({ ...first, at: 30_000 }), "needs a longer hold");
  passTime(state, LATER_MILLISECONDS);
  const late = { ...first, at: LATER_MILLISECONDS };
  t.notOk(state.isRedundant(late));
  t.equal(state.apply(late).code, "TURN_NOT_FOUND");
  t.end();
});

// Guards against a program that returns to one of its turns with a fresh budget.
test("a budget lasts as long as the turns of its program", (t) => {
  const state = new SiteState();
  const limited = { tokenBudget: 10, mostTokens: 10 };
  const day = 86_400_000;
  const long = { retentionMilliseconds: day };
  state.apply(begin("a", limited));
  state.apply(end("a", { ...long, tokens: 6 }));
  passTime(state, day / 2);
  const second = begin("b", { ...limited, previousId: "a", at: day / 2 });
  state.apply({ ...second, openMilliseconds: day });
  passTime(state, day);
  t.equal(state.budgets.describe("p").spent, 6, "while the turn is kept");
  const third = begin("c", { ...limited, at: day });
  t.equal(state.apply(third).code, "BUDGET_EXCEEDED", "while a turn is open");
  const copy = copyState(state);
  for (const each of [state, copy]) {
    passTime(each, 1.4 * day);
    t.equal(each.budgets.describe("p").reserved, 10);
    passTime(each, 3 * day);
    t.notOk(each.budgets.has("p"), "both have ended");
  }
  t.end();
});

const step = fc.record({
  /** Which of the turns known so far is continued; 0 for none. */
  previous: fc.nat(7),
  isEnd: fc.boolean(),
  isWhole: fc.integer({ min: 0, max: 9 }).map((value) => value > 0),
  isRepeated: fc.boolean(),
  isRestarted: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
  open: fc.constantFrom(1_000, 20_000, 90_000),
  retention: fc.constantFrom(0, 1_000, 10_000, 60_000),
  pause: fc.constantFrom(0, 10, 900, 1_900, 8_000, 30_000),
});

interface OpenTurn {
  readonly turnId: string;
  readonly previousId: string;
  readonly deadlineAt: number;
}

interface EndedTurn {
  /** Inputs and outputs of the whole chain. */
  readonly history: string;
  readonly retainedUntil: number;
}

// The model knows each turn's whole history and how long it can be continued at least;
// two stores apply the same commands, and one of them restarts from snapshots.
test("each turn that is begun has its whole history, in any order of events", (t) => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80, size: "max" }), (steps) => {
      const stores = [new SiteState(), new SiteState()];
      const open: OpenTurn[] = [];
      const ended = new Map<string, EndedTurn>();
      let at = 0;
      const apply = (command: BeginCommand | EndCommand): SiteResult => {
        const results = stores.map((store) => store.apply(command));
        const [first, second] = results;
        if (first === undefined || first.code !== second?.code) {
          throw new Error(`The stores differ: ${first?.code} ${second?.code}`);
        }
        return first;
      };
      for (const [index, each] of steps.entries()) {
        at += each.pause;
        const [first, second] = stores;
        if (each.isRestarted && first !== undefined && second !== undefined) {
          stores[1] = copyState(second);
        }
        if (each.isEnd) {
          const turn = open.splice(each.previous % (open.length || 1), 1)[0];
          if (turn === undefined) continue;
          if (at > turn.deadlineAt + COMMIT_MILLISECONDS) continue;
          const command = end(turn.turnId, {
            previousId: turn.previousId,
            at,
            whole: each.isWhole,
            retentionMilliseconds: each.retention,
          });
          const { code } = apply(command);
          if (code !== "OK") throw new Error(`The end of a turn: ${code}`);
          if (each.isRepeated) apply({ ...command, at: at + 5 });
          if (!each.isWhole || each.retention === 0) continue;
          const before = ended.get(turn.previousId)?.history ?? "";
          ended.set(turn.turnId, {
            history: `${before}${command.input}${command.output}`,
            retainedUntil: at + each.retention,
          });
          continue;
        }
        const known = [...ended.keys()];
        const previousId = each.previous === 0
          ? ""
          : known.at(-each.previous) ?? "";
        const turnId = `turn-${index}`;
        const command = begin(turnId, {
          previousId,
          at,
          openMilliseconds: each.open,
        });
        const { code } = apply(command);
        if (each.isRepeated && code === "OK") apply({ ...command, at: at + 5 });
        const previous = ended.get(previousId);
        if (code !== "OK") {
          const isPast = previous !== undefined && at > previous.retainedUntil;
          if (code === "TURN_NOT_FOUND" && isPast) continue;
          throw new Error(`A begin within the retention: ${code}`);
        }
        for (const store of stores) {
          const history = joinHistory(store, previousId);
          if (history === (previous?.history ?? "")) continue;
          throw new Error(`${turnId} would run with "${history}"`);
        }
        open.push({ turnId, previousId, deadlineAt: at + each.open });
      }
      at += LATER_MILLISECONDS;
      apply(end("last", { at, whole: false }));
      for (const store of stores) {
        if (store.turns.size > 0) throw new Error("Turns are kept for good");
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.end();
});

test("the length of a history counts all of its turns", (t) => {
  const state = new SiteState();
  state.apply(end("a"));
  state.apply(end("b", { previousId: "a" }));
  const count = (turns: readonly TurnRecord[] = []) =>
    turns.reduce(
      (sum, { input, output }) => sum + input.length + output.length,
      0,
    );
  for (const each of [state, copyState(state)]) {
    t.equal(each.turns.measureChain("b"), count(each.turns.listChain("b")));
    t.equal(each.turns.measureChain(""), 0);
    t.equal(each.turns.measureChain("none"), undefined);
  }
  t.end();
});

import { Buffer } from "node:buffer";
import fc from "fast-check";
import { test } from "tap";
import { scopeId } from "@mallowlift/core";
import { FormerIds } from "./former_ids.ts";
import type { BeginCommand, EndCommand } from "./site_commands.ts";
import { SiteState } from "./site_state.ts";

const SEED = 1;
const RUNS = 1_000;
const NO_WORKSPACES = "";
const NORTH = "north\0";
const SOUTH = "south\0";
const WITHOUT_KEY = "\0";
const SCOPES = [NO_WORKSPACES, NORTH, SOUTH, WITHOUT_KEY];
const BUDGET = 100;

interface Turn {
  readonly scope: string;
  readonly id: string;
  readonly previous?: string;
  readonly program?: string;
}

function begin(
  { scope, id, previous = "", program = "p" }: Turn,
): BeginCommand {
  return {
    kind: "begin",
    at: 0,
    turnId: scopeId(scope, id),
    programId: scopeId(scope, program),
    previousId: scopeId(scope, previous),
    tokenBudget: BUDGET,
    mostTokens: 10,
    openMilliseconds: 1_000,
  };
}

function end(
  turn: Turn,
  { at = 0, tokens = 0 }: { at?: number; tokens?: number } = {},
): EndCommand {
  const { turnId, programId, previousId } = begin(turn);
  return {
    kind: "end",
    at,
    turnId,
    programId,
    previousId,
    whole: true,
    tokens,
    input: Buffer.from(`in-${turn.id};`),
    output: Buffer.from(`out-${turn.id};`),
    upstream: "u",
    retentionMilliseconds: 60_000,
  };
}

function run(state: SiteState, turn: Turn, tokens = 0): string {
  const { code } = state.apply(begin(turn));
  if (code === "OK") state.apply(end(turn, { tokens }));
  return code;
}

function copyState(state: SiteState): SiteState {
  const copy = new SiteState();
  copy.restore(Buffer.concat([...state.takeSnapshot()]));
  return copy;
}

function listIds(state: SiteState, turnId: string): readonly string[] {
  return state.turns.listChain(turnId)?.map((turn) => turn.turnId) ?? [];
}

// Guards against a stopped program that gets its whole budget again, and turns that are
// not found, after a routing document that gains or loses workspaces.
test("a program goes on with its turns and its budget when workspaces come or go", (t) => {
  for (const [before, after] of [[NO_WORKSPACES, NORTH], [NORTH, ""]]) {
    const first = { scope: before ?? "", id: "a" };
    const second = { scope: after ?? "", id: "b", previous: "a" };
    let state = new SiteState();
    t.equal(run(state, first, 60), "OK");
    state = copyState(state);
    t.ok(state.budgets.isSpent(scopeId(second.scope, "p"), 60));
    t.equal(run(state, second, 40), "OK");
    state = copyState(state);
    const ids = ["b", "a"].map((id) => scopeId(second.scope, id));
    t.same(listIds(state, scopeId(second.scope, "b")), ids);
    const third = { ...second, id: "c", previous: "b" };
    t.equal(run(state, third), "BUDGET_EXCEEDED");
    t.equal(
      run(state, { ...first, id: "d", previous: "b" }),
      "BUDGET_EXCEEDED",
    );
    t.equal(state.budgets.size, 1);
  }
  t.end();
});

test("an open turn is settled in the budget that has got another id meanwhile", (t) => {
  const state = new SiteState();
  const open = { scope: NO_WORKSPACES, id: "a" };
  state.apply(begin(open));
  run(state, { scope: NORTH, id: "b" }, 20);
  state.apply(end(open, { tokens: 7 }));
  const use = state.budgets.describe(scopeId(NORTH, "p"));
  t.same(use, { spent: 27, reserved: 0, openTurns: 0 });
  t.end();
});

test("one workspace alone goes on with what was kept before there were any", (t) => {
  let state = new SiteState();
  run(state, { scope: NO_WORKSPACES, id: "a" }, 60);
  run(state, { scope: NO_WORKSPACES, id: "b", previous: "a" });
  run(state, { scope: NO_WORKSPACES, id: "c", previous: "a" });
  t.equal(run(state, { scope: NORTH, id: "d", previous: "b" }), "OK");
  state = copyState(state);
  for (const scope of [SOUTH, WITHOUT_KEY]) {
    for (const previous of ["a", "b", "c", "d"]) {
      const turn = { scope, id: `${previous}-x`, previous };
      t.equal(run(state, turn), "TURN_NOT_FOUND");
    }
    t.notOk(state.budgets.has(scopeId(scope, "p")));
  }
  t.equal(run(state, { scope: NORTH, id: "e", previous: "c" }), "OK");
  t.same(listIds(state, `${NORTH}e`), [`${NORTH}e`, `${NORTH}c`, `${NORTH}a`]);
  t.end();
});

test("a program that two workspaces have is nobody's once there are none", (t) => {
  const state = new SiteState();
  run(state, { scope: NORTH, id: "a" }, BUDGET);
  run(state, { scope: SOUTH, id: "a" }, BUDGET);
  const next = { scope: NO_WORKSPACES, id: "b" };
  t.equal(run(state, { ...next, previous: "a" }), "TURN_NOT_FOUND");
  t.equal(run(state, next), "OK");
  t.end();
});

test("ids are looked up by what is stored now", (t) => {
  const items = new Map<string, number>();
  const ids = new FormerIds(items);
  const store = (id: string) => {
    items.set(id, 1);
    ids.add(id);
  };
  const drop = (id: string) => {
    items.delete(id);
    ids.delete(id);
  };
  store(`${NORTH}a`);
  t.equal(ids.find("a"), `${NORTH}a`);
  store(`${SOUTH}a`);
  t.equal(ids.find("a"), undefined, "of two workspaces");
  drop(`${NORTH}a`);
  t.equal(ids.find("a"), `${SOUTH}a`);
  t.equal(ids.find(`${NORTH}a`), undefined);
  drop(`${SOUTH}a`);
  t.equal(ids.find("a"), undefined);
  store("a");
  t.equal(ids.find(`${NORTH}a`), "a");
  t.equal(ids.find(""), undefined);
  t.end();
});

const step = fc.record({
  scope: fc.constantFrom(...SCOPES),
  /** Which of the turns known so far is continued; 0 for none. */
  previous: fc.nat(6),
  isRestarted: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
});

interface KnownTurn {
  readonly id: string;
  readonly previous: string;
  readonly scope: string;
  /** Scope that has gone on from the turn; only for turns without one. */
  owner: string;
}

test("no workspace gets turns of another one, in any order of documents", (t) => {
  const steps = fc.array(step, { maxLength: 60, size: "max" });
  fc.assert(
    fc.property(steps, (drawn) => {
      let state = new SiteState();
      const known = new Map<string, KnownTurn>();
      const listBefore = (id: string) => {
        const chain: KnownTurn[] = [];
        let turn = known.get(id);
        while (turn !== undefined) {
          chain.push(turn);
          turn = known.get(turn.previous);
        }
        return chain;
      };
      for (
        const [index, { scope, previous: back, isRestarted }] of drawn.entries()
      ) {
        if (isRestarted) state = copyState(state);
        const previous = back === 0 ? "" : [...known.keys()].at(-back) ?? "";
        const id = `t${index}`;
        const program = `p${index}`;
        const chain = listBefore(previous);
        const isOpen = scope === NO_WORKSPACES ||
          chain.every((turn) => [NO_WORKSPACES, scope].includes(turn.owner));
        const code = run(state, { scope, id, previous, program });
        if (code !== (isOpen ? "OK" : "TURN_NOT_FOUND")) {
          throw new Error(`${JSON.stringify(scope)} ${id}: ${code}`);
        }
        if (!isOpen) continue;
        known.set(id, { id, previous, scope, owner: scope });
        if (scope === NO_WORKSPACES) continue;
        for (const turn of chain) turn.owner = scope;
      }
      for (const { id, scope } of known.values()) {
        const expected = listBefore(id).map((turn) => scopeId(scope, turn.id));
        const found = listIds(state, scopeId(scope, id));
        if (found.join() === expected.join()) continue;
        throw new Error(`${id}: ${found.join()}`);
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.end();
});

import {
  type Answer,
  type CallBody,
  EMPTY_HISTORY_DIGEST,
  END_REASONS,
  extendDigest,
  isIdempotent,
  NO_USAGE,
  type Outcome,
  type ProgramSpec,
} from "@mallowlift/core";
import fc from "fast-check";
import { test } from "tap";
import type { ProgramCommand } from "./commands.ts";
import {
  CALL_STATES,
  type CallRecord,
  type ProgramRecord,
} from "./program_records.ts";
import { ProgramState } from "./program_state.ts";

const SEED = 1;
const TARGET = { sidecarId: "s", bootId: "b", address: "" };
const IDS = ["p1", "p1-a", "p1-b", "p2"];
const REQUESTS = ["r1", "r2", "r3"];

const SPEC: ProgramSpec = {
  outfit: "north",
  requestId: "create",
  askedDigest: "d",
  priority: 1,
  tokenBudget: 300,
  turnLimit: 20,
  deadlineMilliseconds: 1_000_000,
  leaseMilliseconds: 1_000,
};

function createBase(): ProgramState {
  const state = new ProgramState();
  for (const programId of IDS) {
    const parent = programId.includes("-") ? "p1" : undefined;
    const outfit = programId === "p2" ? "south" : "north";
    const tokenBudget = programId === "p1-a" ? 100 : SPEC.tokenBudget;
    const spec = { ...SPEC, parent, outfit, tokenBudget };
    state.apply({ type: "create_program", now: 0, programId, spec });
  }
  return state;
}

const body: fc.Arbitrary<CallBody> = fc.oneof(
  fc.record({
    kind: fc.constant("model" as const),
    model: fc.constant("m"),
    messages: fc.array(
      fc.record({
        role: fc.constant("user"),
        content: fc.string({ maxLength: 40 }),
      }),
      { minLength: 1, maxLength: 2 },
    ),
    maxTokens: fc.integer({ min: 1, max: 120 }),
  }),
  fc.record({
    kind: fc.constant("service" as const),
    service: fc.constant("s"),
    operation: fc.constant("o"),
    payload: fc.constant("{}"),
    idempotent: fc.boolean(),
  }),
);

const target = fc.constant(TARGET);
const completionTokens = fc.nat(500);

interface CommandNames {
  readonly programs: readonly string[];
  readonly requests: readonly string[];
  readonly outfits: readonly string[];
}

/**
 * Creates random commands. With few names, commands often address the same call;
 * with many names, commands on different programs interleave.
 */
function createCommands(names: CommandNames): fc.Arbitrary<ProgramCommand> {
  const key = {
    now: fc.nat(1_000),
    programId: fc.constantFrom(...names.programs),
    requestId: fc.constantFrom(...names.requests),
  };
  return fc.oneof(
    fc.record({
      type: fc.constant("accept_call" as const),
      ...key,
      outfit: fc.constantFrom(...names.outfits),
      body,
      openLimit: fc.constant(2),
      target: fc.option(target, { nil: undefined }),
    }),
    fc.record({
      type: fc.constant("dispatch_call" as const),
      ...key,
      attempt: fc.integer({ min: 1, max: 3 }),
      target,
      previousNeverRan: fc.boolean(),
    }),
    fc.record({
      type: fc.constant("end_call" as const),
      ...key,
      attempt: fc.integer({ min: 1, max: 3 }),
      end: fc.record({
        code: fc.constant("OK"),
        answer: completionTokens.map((tokens): Answer => ({
          text: "t",
          finish: "length",
          usage: { ...NO_USAGE, completionTokens: tokens },
        })),
      }),
    }),
    fc.record({
      type: fc.constant("withdraw_call" as const),
      ...key,
      attempt: fc.integer({ min: 0, max: 3 }),
    }),
    fc.record({
      type: fc.constant("end_program" as const),
      now: key.now,
      programId: key.programId,
      reason: fc.constant(END_REASONS.CALLER),
    }),
  );
}

const command = createCommands({
  programs: IDS,
  requests: REQUESTS,
  outfits: ["north", "south"],
});

const collidingCommand = createCommands({
  programs: ["p1"],
  requests: ["r1", "r2"],
  outfits: ["north"],
});

function listPrograms(state: ProgramState): readonly ProgramRecord[] {
  return [...state.programs];
}

function checkBudgets(state: ProgramState): boolean {
  return listPrograms(state).every((program) => {
    const { tokensUsed, tokensReserved, spec } = program;
    return tokensReserved >= 0 &&
      tokensUsed + tokensReserved <= spec.tokenBudget;
  });
}

function checkOrder(state: ProgramState): boolean {
  return listPrograms(state).every((program) => {
    const dispatched = program.openCalls.filter((requestId) =>
      program.calls.get(requestId)?.state === CALL_STATES.DISPATCHED
    );
    return dispatched.length <= 1 &&
      (dispatched[0] ?? program.openCalls[0]) === program.openCalls[0];
  });
}

function checkDigests(state: ProgramState): boolean {
  return listPrograms(state).every((program) => {
    let digest = EMPTY_HISTORY_DIGEST;
    for (const turn of program.history) {
      const { requestId, body: turnBody, code, answer } = turn;
      digest = extendDigest(digest, {
        requestId,
        body: turnBody,
        code,
        answer,
      });
      if (turn.digest !== digest) return false;
    }
    return program.digest === digest;
  });
}

const commandLists = fc.oneof(
  fc.array(command, { maxLength: 60, size: "max" }),
  fc.array(collidingCommand, { maxLength: 60, size: "max" }),
);

test("budgets, call order and history digests stay consistent after any commands", (t) => {
  fc.assert(
    fc.property(commandLists, (commands) => {
      const state = createBase();
      for (const next of commands) {
        state.apply(next);
        if (
          !checkBudgets(state) || !checkOrder(state) || !checkDigests(state)
        ) return false;
      }
      return true;
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

test("a non-idempotent call is dispatched again only if its previous attempt never ran", (t) => {
  fc.assert(
    fc.property(commandLists, (commands) => {
      const state = createBase();
      for (const next of commands) {
        const call = next.type === "dispatch_call"
          ? state.find(next.programId)?.calls.get(next.requestId)
          : undefined;
        const attemptBefore = call?.attempt ?? 0;
        const isNonIdempotent = call?.body !== undefined &&
          !isIdempotent(call.body);
        state.apply(next);
        if (
          next.type !== "dispatch_call" || !isNonIdempotent ||
          attemptBefore === 0
        ) {
          continue;
        }
        if (call?.attempt !== attemptBefore && !next.previousNeverRan) {
          return false;
        }
      }
      return true;
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

test("a state restored from a snapshot applies further commands like the original", (t) => {
  fc.assert(
    fc.property(
      fc.array(command, { maxLength: 40 }),
      fc.nat(40),
      (commands, cut) => {
        const uninterrupted = createBase();
        let restored = createBase();
        for (const [position, next] of commands.entries()) {
          uninterrupted.apply(next);
          restored.apply(next);
          if (position !== cut) continue;
          const snapshot = Buffer.concat(restored.takeSnapshot());
          restored = new ProgramState();
          restored.restore(snapshot);
        }
        t.same(listPrograms(restored), listPrograms(uninterrupted));
      },
    ),
    { seed: SEED, numRuns: 100 },
  );
  t.end();
});

test("a repeated request id returns the same call, or is refused if the body differs", (t) => {
  const state = createBase();
  const accept = (maxTokens: number) =>
    state.apply({
      type: "accept_call",
      now: 1,
      programId: "p1",
      outfit: "north",
      requestId: "r",
      body: { kind: "model", model: "m", messages: [], maxTokens },
      openLimit: 2,
    }) as Outcome<CallRecord>;
  const first = accept(5);
  t.ok(first.ok);
  t.equal(accept(5).val, first.val);
  const other = accept(6);
  t.equal(other.err && other.val.code.name, "REQUEST_ID_REUSED");
  t.equal(state.find("p1")?.tokensReserved, 5);
  t.end();
});

test("a program of another outfit is refused like one that does not exist", (t) => {
  const state = createBase();
  const acceptAsSouth = (programId: string) =>
    state.apply({
      type: "accept_call",
      now: 1,
      programId,
      outfit: "south",
      requestId: "r",
      body: { kind: "model", model: "m", messages: [], maxTokens: 1 },
      openLimit: 2,
    }) as Outcome<CallRecord>;
  t.same(acceptAsSouth("p1"), acceptAsSouth("absent"));
  t.end();
});

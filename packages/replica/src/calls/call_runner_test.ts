import {
  type Answer,
  type CallBody,
  createMetrics,
  fail,
  type HandlerName,
  type InternalHandlers,
  NO_USAGE,
  type Outcome,
  RESULT_CODES,
  SILENT_LOGGER,
} from "@mallowlift/core";
import {
  type CallRecord,
  type ProgramRecord,
  ProgramState,
} from "@mallowlift/programs";
import type { Caller } from "@mallowlift/transport";
import fc from "fast-check";
import { test } from "tap";
import { Ok } from "ts-results";
import { type CallOwner, CallRunner } from "./call_runner.ts";

const SEED = 1;
const TARGET = { sidecarId: "s", bootId: "b", address: "a" };
const ANSWER: Answer = { text: "done", finish: "200", usage: NO_USAGE };
const MAX_ATTEMPTS = 4;

/** What a sidecar does with one attempt, or that there is none. */
const FATES = {
  ANSWERS: "answers",
  REFUSES: "refuses",
  RUNS_AND_FAILS: "runs and fails",
  RUNS_AND_RESTARTS: "runs and restarts",
  ABSENT: "absent",
} as const;

type Fate = typeof FATES[keyof typeof FATES];

/** A sidecar whose fates are given beforehand; counts what ran. */
class FatedSidecar implements Caller {
  runs = 0;
  readonly #fates: Fate[];

  constructor(fates: readonly Fate[]) {
    this.#fates = [...fates];
  }

  /** True if the next call finds no sidecar at all. */
  takeAbsence(): boolean {
    if (this.#fates[0] !== FATES.ABSENT) return false;
    this.#fates.shift();
    return true;
  }

  call<N extends HandlerName>(
    name: N,
  ): Promise<Outcome<InternalHandlers[N]["reply"]>> {
    return Promise.resolve(
      this.#answer(name) as Outcome<InternalHandlers[N]["reply"]>,
    );
  }

  #answer(name: HandlerName): Outcome<unknown> {
    if (name === "attempts.recover") return Ok({ state: "outcome_unknown" });
    if (name !== "attempts.dispatch") return Ok({});
    const fate = this.#fates.shift() ?? FATES.ANSWERS;
    if (fate === FATES.REFUSES) return fail(RESULT_CODES.QUEUE_FULL, "Full");
    this.runs++;
    if (fate === FATES.RUNS_AND_FAILS) {
      return fail(RESULT_CODES.UPSTREAM_ERROR, "Broken");
    }
    if (fate === FATES.RUNS_AND_RESTARTS) {
      return fail(RESULT_CODES.CONNECTION_LOST, "Lost");
    }
    return Ok(ANSWER);
  }
}

function createCall(body: CallBody) {
  const state = new ProgramState();
  state.apply({
    type: "create_program",
    now: Date.now(),
    programId: "p",
    spec: {
      outfit: "north",
      requestId: "create",
      askedDigest: "",
      tokenBudget: 1_000,
      turnLimit: 10,
      deadlineMilliseconds: 60_000,
      leaseMilliseconds: 60_000,
    },
  });
  state.apply({
    type: "accept_call",
    now: Date.now(),
    programId: "p",
    outfit: "north",
    requestId: "r",
    body,
    openLimit: 1,
  });
  const program = state.find("p") as ProgramRecord;
  return { state, program, call: program.calls.get("r") as CallRecord };
}

function createOwner(state: ProgramState, sidecar: FatedSidecar): CallOwner {
  return {
    group: 1,
    term: 1,
    maxAttempts: MAX_ATTEMPTS,
    placement: {
      place: () =>
        sidecar.takeAbsence()
          ? fail(RESULT_CODES.NO_UPSTREAM, "None")
          : Ok(TARGET),
      noteSent: () => undefined,
      noteEnded: () => undefined,
      noteAnswered: () => undefined,
      findCaller: () => sidecar,
    },
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
    signal: new AbortController().signal,
    propose: (command) =>
      Promise.resolve(state.apply(command) as Outcome<CallRecord>),
  };
}

const fates = fc.array(fc.constantFrom(...Object.values(FATES)), {
  maxLength: 6,
});

async function runFates(body: CallBody, listed: readonly Fate[]) {
  const { state, program, call } = createCall(body);
  const sidecar = new FatedSidecar(listed);
  const runner = new CallRunner(createOwner(state, sidecar), {
    program,
    call,
    told: "",
  });
  await runner.run("send");
  return { sidecar, program, outcome: await runner.listeners.end };
}

test("a refusal that says not run is true, whatever sidecars do", async (t) => {
  await fc.assert(
    fc.asyncProperty(fates, fc.boolean(), async (listed, idempotent) => {
      const body: CallBody = {
        kind: "service",
        service: "s",
        operation: "o",
        payload: "{}",
        idempotent,
      };
      const { sidecar, outcome } = await runFates(body, listed);
      return !(outcome.err && outcome.val.code.notRun) || sidecar.runs === 0;
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

test("a call that may not repeat runs once at most, and its end is recorded", async (t) => {
  await fc.assert(
    fc.asyncProperty(fates, async (listed) => {
      const body: CallBody = {
        kind: "service",
        service: "s",
        operation: "o",
        payload: "{}",
        idempotent: false,
      };
      const { sidecar, program, outcome } = await runFates(body, listed);
      const recorded = program.history.length;
      return sidecar.runs <= 1 && recorded === sidecar.runs &&
        outcome.ok === (recorded === 1);
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

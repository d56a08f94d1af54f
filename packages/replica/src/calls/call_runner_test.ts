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
import type { PeerClient } from "@mallowlift/transport";
import fc from "fast-check";
import { test } from "tap";
import { Ok } from "ts-results";
import { type CallOwner, CallRunner } from "./call_runner.ts";

const SEED = 1;
const TARGET = { sidecarId: "s", bootId: "b", address: "a" };
const ANSWER: Answer = { text: "done", finish: "200", usage: NO_USAGE };
const MAX_ATTEMPTS = 4;

/** How a sidecar handles one attempt; ABSENT if no sidecar is available. */
const STEPS = {
  ANSWERS: "answers",
  REFUSES: "refuses",
  RUNS_AND_FAILS: "runs and fails",
  RUNS_AND_RESTARTS: "runs and restarts",
  ABSENT: "absent",
} as const;

type Step = typeof STEPS[keyof typeof STEPS];

/**
 * A sidecar that follows a script of steps and counts the attempts that ran.
 */
class ScriptedSidecar implements PeerClient {
  runs = 0;
  readonly #steps: Step[];

  constructor(script: readonly Step[]) {
    this.#steps = [...script];
  }

  /** Returns true and consumes the next step if that step is ABSENT. */
  takeAbsence(): boolean {
    if (this.#steps[0] !== STEPS.ABSENT) return false;
    this.#steps.shift();
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
    const step = this.#steps.shift() ?? STEPS.ANSWERS;
    if (step === STEPS.REFUSES) return fail(RESULT_CODES.QUEUE_FULL, "Full");
    this.runs++;
    if (step === STEPS.RUNS_AND_FAILS) {
      return fail(RESULT_CODES.UPSTREAM_ERROR, "Broken");
    }
    if (step === STEPS.RUNS_AND_RESTARTS) {
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

function createOwner(state: ProgramState, sidecar: ScriptedSidecar): CallOwner {
  return {
    group: 1,
    term: 1,
    maxAttempts: MAX_ATTEMPTS,
    placement: {
      place: () =>
        sidecar.takeAbsence()
          ? fail(RESULT_CODES.NO_UPSTREAM, "None")
          : Ok(TARGET),
      recordDispatch: () => undefined,
      recordEnd: () => undefined,
      recordAnswer: () => undefined,
      getClient: () => sidecar,
    },
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
    signal: new AbortController().signal,
    propose: (command) =>
      Promise.resolve(state.apply(command) as Outcome<CallRecord>),
  };
}

const scripts = fc.array(fc.constantFrom(...Object.values(STEPS)), {
  maxLength: 6,
});

async function runScript(body: CallBody, script: readonly Step[]) {
  const { state, program, call } = createCall(body);
  const sidecar = new ScriptedSidecar(script);
  const runner = new CallRunner(createOwner(state, sidecar), {
    program,
    call,
    told: "",
  });
  await runner.run("send");
  return { sidecar, program, outcome: await runner.listeners.end };
}

test("a call that ran never gets a code that guarantees that it did not run", async (t) => {
  await fc.assert(
    fc.asyncProperty(scripts, fc.boolean(), async (script, idempotent) => {
      const body: CallBody = {
        kind: "service",
        service: "s",
        operation: "o",
        payload: "{}",
        idempotent,
      };
      const { sidecar, outcome } = await runScript(body, script);
      return !(outcome.err && outcome.val.code.notRun) || sidecar.runs === 0;
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

test("a non-idempotent call runs at most once, and its end is recorded if it ran", async (t) => {
  await fc.assert(
    fc.asyncProperty(scripts, async (script) => {
      const body: CallBody = {
        kind: "service",
        service: "s",
        operation: "o",
        payload: "{}",
        idempotent: false,
      };
      const { sidecar, program, outcome } = await runScript(body, script);
      const recorded = program.history.length;
      return sidecar.runs <= 1 && recorded === sidecar.runs &&
        outcome.ok === (recorded === 1);
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.end();
});

// Guards against an entry that tells its caller that a call did not run (NO_LEADER)
// while its owner hands over the leadership and refuses to record the end.
test("an accepted call whose owner hands over does not end with NOT_LEADER", async (t) => {
  const body: CallBody = {
    kind: "service",
    service: "s",
    operation: "o",
    payload: "{}",
    idempotent: false,
  };
  const { state, program, call } = createCall(body);
  const sidecar = new ScriptedSidecar([STEPS.ANSWERS]);
  const owner = createOwner(state, sidecar);
  const runner = new CallRunner({
    ...owner,
    propose: (command) =>
      command.type === "end_call"
        ? Promise.resolve(fail(RESULT_CODES.NOT_LEADER, "Handing over"))
        : owner.propose(command),
  }, { program, call, told: "" });
  await runner.run("send");
  const outcome = await runner.listeners.end;
  t.equal(sidecar.runs, 1);
  t.equal(outcome.err && outcome.val.code.name, "LEADERSHIP_LOST");
});

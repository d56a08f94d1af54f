/** Callers of programs of several turns at a test site. */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { callGateway, type CallResult } from "./gateway_caller.ts";
import { callUntilServed } from "./persistent_caller.ts";
import type { TestSite } from "./start_test_site.ts";

/** Input of each turn, 4 kB. */
const TURN_INPUT = "x".repeat(4_000);
/** Timeout of a call, ms. */
const CALL_TIMEOUT_MILLISECONDS = 4_000;

/** Programs of one kind. */
export interface ProgramKind {
  /** Distinguishes the programs of several kinds. */
  readonly name: string;
  /** Path of the route that the turns are sent to. */
  readonly path: string;
  /** Turns of each program, one after the other. */
  readonly turns: number;
  /** Time in which a program should end, from its first attempt, ms. */
  readonly aimMilliseconds: number;
}

/** How a program ended. */
export interface ProgramOutcome {
  /** When it began, ms. */
  readonly startedAt: number;
  readonly isServed: boolean;
  /** Time from its first attempt to its end, ms. */
  readonly milliseconds: number;
  /** Status and time of the last attempt, such as "503 after 40 ms". */
  readonly lastAttempt: string;
}

/** Starts programs of one kind at a running site and collects how they end. */
export class ProgramCallers {
  readonly #running: TestSite;
  readonly #kind: ProgramKind;
  #started = 0;

  constructor(running: TestSite, kind: ProgramKind) {
    this.#running = running;
    this.#kind = kind;
  }

  /** Runs one program. */
  async runProgram(): Promise<ProgramOutcome> {
    const { name, turns } = this.#kind;
    const program = `${name}-${this.#started++}`;
    const startedAt = performance.now();
    let previous = "";
    let lastAttempt = "";
    for (let turn = 0; turn < turns; turn++) {
      const ended = await this.#callTurn({ program, turn, previous });
      lastAttempt = ended.lastAttempt;
      previous = ended.turnId;
      if (previous === "") break;
    }
    const milliseconds = performance.now() - startedAt;
    const isServed = previous !== "";
    return { startedAt, isServed, milliseconds, lastAttempt };
  }

  /**
   * Keeps a fixed number of programs running for a while; returns those that ended
   * within that time.
   */
  async keepRunning(
    programs: number,
    milliseconds: number,
  ): Promise<readonly ProgramOutcome[]> {
    const until = performance.now() + milliseconds;
    const outcomes: ProgramOutcome[] = [];
    const keepOneRunning = async () => {
      while (performance.now() < until) {
        const outcome = await this.runProgram();
        if (performance.now() < until) outcomes.push(outcome);
      }
    };
    await Promise.all(Array.from({ length: programs }, keepOneRunning));
    return outcomes;
  }

  /** Starts programs at a rate for a while, whether or not earlier ones have ended. */
  async startAtRate(
    programsPerSecond: number,
    milliseconds: number,
  ): Promise<readonly Promise<ProgramOutcome>[]> {
    const startedAt = performance.now();
    const outcomes: Promise<ProgramOutcome>[] = [];
    while (performance.now() - startedAt < milliseconds) {
      const due = (performance.now() - startedAt) * programsPerSecond / 1_000;
      while (outcomes.length < due) outcomes.push(this.runProgram());
      await sleep(5);
    }
    return outcomes;
  }

  /** Counts the programs that ended in time. */
  countInTime(outcomes: readonly ProgramOutcome[]): number {
    return outcomes.filter((outcome) => this.isInTime(outcome)).length;
  }

  /** True if a program was served and ended in time. */
  isInTime({ isServed, milliseconds }: ProgramOutcome): boolean {
    return isServed && milliseconds <= this.#kind.aimMilliseconds;
  }

  /** Attempts a turn until it is served; its id is empty if it is not. */
  async #callTurn(
    turn: {
      readonly program: string;
      readonly turn: number;
      readonly previous: string;
    },
  ): Promise<{ readonly turnId: string; readonly lastAttempt: string }> {
    const { servedAttempt, attempts } = await callUntilServed((attempt) =>
      this.#callOnce({ ...turn, attempt, turnId: createTurnId(turn, attempt) })
    );
    const turnId = servedAttempt === undefined
      ? ""
      : createTurnId(turn, servedAttempt);
    return { turnId, lastAttempt: attempts.at(-1) ?? "" };
  }

  #callOnce(
    turn: {
      readonly turnId: string;
      readonly program: string;
      readonly previous: string;
      readonly attempt: number;
    },
  ): Promise<CallResult> {
    const { gateways } = this.#running.site;
    const gateway = gateways[(this.#started + turn.attempt) % gateways.length];
    return callGateway(gateway?.callersUrl ?? "", {
      callId: turn.turnId,
      path: this.#kind.path,
      body: TURN_INPUT,
      headers: {
        "x-program": turn.program,
        "x-most-tokens": "6",
        "x-patience-ms": String(CALL_TIMEOUT_MILLISECONDS),
        ...(turn.previous === "" ? {} : { "x-previous-turn": turn.previous }),
      },
    });
  }
}

function createTurnId(
  { program, turn }: { readonly program: string; readonly turn: number },
  attempt: number,
): string {
  return `${program}-${turn}-${attempt}`;
}

/**
 * Starts the calls of a gateway, the more urgent first, and limits new programs while
 * its event loop is full: each step of a call waits for the event loop, so that a full
 * gateway makes all of its programs late.
 */

import { performance } from "node:perf_hooks";
import {
  type CodedError,
  countRefusal,
  type Metrics,
  RESULT_CODES,
  scopeId,
} from "@mallowlift/core";
import {
  findRequestOrder,
  ProgramAdmission,
  ProgramLength,
  REQUEST_STAGES,
  type RequestStage,
} from "@mallowlift/scheduling";
import { RequestQueue } from "@mallowlift/transport";
import { LoadMeter } from "../load_meter.ts";
import { KnownPrograms } from "./known_programs.ts";
import type { OpenCall } from "./open_call.ts";
import { findScope } from "../workspaces/scoped_id.ts";
import { findPrecedence } from "./request_precedence.ts";

/**
 * From which delay of its calls a gateway counts as full. A call passes the event loop
 * some six times, and a gateway starts few calls in an interval. Nothing but a limit
 * on lesser programs makes room for urgent ones there, so these go far ahead.
 */
const DELAY_LIMITS = {
  minTargetMilliseconds: 40,
  targetCommands: 1,
  minCommands: 1,
  aheadMilliseconds: 1_000,
  // A loop that is not full tells nothing of how much more it could carry.
  increase: 0.04,
} as const;
/** Delay that is assumed of what waits unseen while the event loop is full, ms. */
const FULL_DELAY_MILLISECONDS = 100;

/** Dependencies of a {@linkcode CallQueue}. */
export interface CallQueueOptions {
  readonly metrics: Metrics;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
}

/** A call and what is done with it. */
export interface QueuedCall {
  readonly call: OpenCall;
  readonly isTurn: boolean;
  readonly run: () => Promise<void>;
  /** Answers the call without running it. */
  readonly refuse: (error: CodedError) => void;
}

/**
 * Calls that wait for their start.
 *
 * @example
 * ```ts
 * const queue = new CallQueue({ metrics, random });
 * await queue.run({ call, isTurn, run: () => runTurn(call, parts), refuse });
 * ```
 */
export class CallQueue {
  readonly #options: CallQueueOptions;
  readonly #queue = new RequestQueue();
  readonly #admission = new ProgramAdmission({ limits: DELAY_LIMITS });
  readonly #programs = new KnownPrograms();
  /** Turns of a program, by priority. */
  readonly #lengths = new Map<number, ProgramLength>();
  readonly #load = new LoadMeter();

  constructor(options: CallQueueOptions) {
    this.#options = options;
  }

  /** Runs or refuses a call when its turn comes; resolves when it has ended. */
  async run(queued: QueuedCall): Promise<void> {
    const { call, isTurn, run, refuse } = queued;
    const addedAt = performance.now();
    const programId = findProgramId(call);
    const own = findPrecedence(call, addedAt);
    const precedence = isTurn
      ? own
      : this.#programs.findPrecedence(programId, own);
    const stage = this.#findStage(call, isTurn);
    const refuseIfLimited = () => {
      const error = this.#findRefusal(call, { stage, isTurn, addedAt });
      if (error === undefined) {
        if (isTurn) this.#programs.record(programId, own);
        return undefined;
      }
      refuse(error);
      return true;
    };
    const runToEnd = async () => {
      await run();
      return true;
    };
    await this.#queue.run(runToEnd, refuseIfLimited, {
      order: findRequestOrder(stage, precedence),
    });
  }

  #findStage(call: OpenCall, isTurn: boolean): RequestStage {
    const { previousTurnId } = call.parts.facts;
    const isNew = isTurn && previousTurnId === "" &&
      !this.#programs.has(findProgramId(call));
    return isNew ? REQUEST_STAGES.START : REQUEST_STAGES.CONTINUE;
  }

  #findLength(priority: number): ProgramLength {
    const known = this.#lengths.get(priority);
    if (known !== undefined) return known;
    const length = new ProgramLength();
    this.#lengths.set(priority, length);
    return length;
  }

  /** Returns why a call is not run; undefined if it is. */
  #findRefusal(
    call: OpenCall,
    { stage, isTurn, addedAt }: {
      readonly isTurn: boolean;
      readonly stage: RequestStage;
      readonly addedAt: number;
    },
  ): CodedError | undefined {
    const now = performance.now();
    // What arrives waits for an iteration before it is read, and longer in a full loop.
    const unseenMilliseconds = Math.max(
      this.#queue.iterationMilliseconds,
      this.#load.isFull(now) ? FULL_DELAY_MILLISECONDS : 0,
    );
    const ageMilliseconds = now - addedAt + unseenMilliseconds;
    this.#admission.recordCommand(
      { ageMilliseconds, expectedMilliseconds: 0 },
      now,
    );
    if (!isTurn) return undefined;
    const { workspace } = call.parts;
    const { priority } = findPrecedence(call, now);
    const length = this.#findLength(priority);
    if (stage !== REQUEST_STAGES.START) {
      length.record(true, now);
      return undefined;
    }
    const program = {
      priority,
      cost: length.turns,
      workspace: workspace?.name ?? "",
      weight: workspace?.ratePerSecond ?? 1,
    };
    if (this.#admission.tryAdmit(now, program)) {
      length.record(false, now);
      return undefined;
    }
    const code = RESULT_CODES.OVERLOADED;
    const { metrics, random } = this.#options;
    countRefusal(metrics, "programs", code);
    const pause = this.#admission.findRetryAfter();
    return {
      code,
      message: "The gateway limits new programs, since its event loop is full",
      retryAfterMilliseconds: Math.round(pause * (1 + random())),
    };
  }
}

/** Returns the id of a call's program, scoped to its workspace. */
function findProgramId(call: OpenCall): string {
  const { facts, table, workspace } = call.parts;
  return scopeId(findScope(table.document, workspace), facts.programId);
}

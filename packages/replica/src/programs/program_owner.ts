/**
 * Serves the programs of one group and runs their calls while this replica
 * leads the group.
 */

import {
  ABORTED,
  type AliveReply,
  type AliveRequest,
  type CreateProgramRequest,
  type DeliveredText,
  type EndProgramRequest,
  type EndReason,
  fail,
  type HistoryPage,
  type Logger,
  type Metrics,
  type Outcome,
  type ProgramView,
  type ReadHistoryRequest,
  type ReadProgramRequest,
  RESULT_CODES,
  type RunCallEvent,
  type RunCallReply,
  type RunCallRequest,
} from "@mallowlift/core";
import {
  type LeadershipListener,
  type ReplicatedGroup,
  URGENCIES,
  type Urgency,
} from "@mallowlift/consensus";
import {
  CALL_STATES,
  type CallRecord,
  type ProgramCommand,
  type ProgramRecord,
  type ProgramState,
  viewProgram,
} from "@mallowlift/programs";
import type { CallContext } from "@mallowlift/transport";
import { Ok } from "ts-results";
import { CallAcceptor } from "../calls/call_acceptor.ts";
import {
  type CallOwner,
  CallRunner,
  type CallStart,
  createRecordedReply,
} from "../calls/call_runner.ts";
import type { Placement } from "../sidecars/placement.ts";
import type { SidecarDirectory } from "../sidecars/sidecar_directory.ts";
import { sweepPrograms } from "./program_sweeper.ts";

const CACHE_RELEASE_TIMEOUT_MILLISECONDS = 1_000;

/** Limits that an owner enforces. */
export interface OwnerLimits {
  readonly maxAttempts: number;
  readonly callsPerProgram: number;
  readonly forgetMilliseconds: number;
}

/** Dependencies of a program owner. */
export interface ProgramOwnerOptions {
  readonly group: number;
  readonly state: ProgramState;
  readonly getGroup: () => ReplicatedGroup | undefined;
  readonly placement: Placement;
  readonly directory: SidecarDirectory;
  readonly limits: OwnerLimits;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The owner of the programs of one group. */
export class ProgramOwner implements LeadershipListener {
  readonly #options: ProgramOwnerOptions;
  readonly #runners = new Map<string, CallRunner>();
  readonly #acceptor: CallAcceptor;
  #leadership = new AbortController();
  #term = 0;

  constructor(options: ProgramOwnerOptions) {
    this.#options = options;
    this.#leadership.abort(ABORTED);
    const { group, state, placement, limits } = options;
    this.#acceptor = new CallAcceptor({
      group,
      state,
      placement,
      callsPerProgram: limits.callsPerProgram,
      getTerm: () => this.#getGroup()?.isLeading ? this.#term : undefined,
      propose: (command) => this.#propose<CallRecord>(command),
      confirmLeadership: () => this.#confirmLeadership(),
    });
  }

  /** Number of calls that are running or waiting. */
  get openCalls(): number {
    return this.#runners.size;
  }

  /** Number of programs of the group, including ended ones. */
  get programCount(): number {
    return this.#options.state.size;
  }

  /** Takes over all open calls from the previous leader. */
  onLeading(term: number): void {
    this.#leadership = new AbortController();
    this.#term = term;
    for (const program of this.#options.state.programs) {
      for (const requestId of program.openCalls) {
        const call = program.calls.get(requestId);
        if (call === undefined) continue;
        this.#startRunner({ program, call, told: "" }, "recover");
      }
    }
    const { state, limits } = this.#options;
    void sweepPrograms({
      state,
      forgetMilliseconds: limits.forgetMilliseconds,
      signal: this.#leadership.signal,
      end: (program, reason) => this.#endProgram(program, reason),
      forget: ({ programId }, now) =>
        this.#propose({ type: "forget_program", now, programId }),
    });
  }

  /** Stops running calls. The next leader takes them over. */
  onFollowing(): void {
    this.#leadership.abort(ABORTED);
    this.#runners.clear();
  }

  /** Creates a program. */
  async createProgram(
    request: CreateProgramRequest,
  ): Promise<Outcome<ProgramView>> {
    const created = await this.#propose<ProgramRecord>({
      type: "create_program",
      now: Date.now(),
      programId: request.programId,
      spec: request.spec,
    });
    return created.map(viewProgram);
  }

  /** Reads a program. */
  async readProgram(
    request: ReadProgramRequest,
  ): Promise<Outcome<ProgramView>> {
    const found = await this.#findProgram(request);
    return found.map(viewProgram);
  }

  /** Reads a range of turns of a program's history. */
  async readHistory(
    request: ReadHistoryRequest,
  ): Promise<Outcome<HistoryPage>> {
    const found = await this.#findProgram(request);
    return found.map((program) => {
      const start = request.fromTurn - 1;
      const turns = program.history.slice(start, start + request.limit);
      return { program: viewProgram(program), turns };
    });
  }

  /** Ends a program and releases what engines have cached for it. */
  async endProgram(request: EndProgramRequest): Promise<Outcome<ProgramView>> {
    const found = await this.#findProgram(request);
    if (found.err) return found;
    return await this.#endProgram(found.val, request.reason);
  }

  /** Returns which of the given programs still need their cache in engines. */
  async listAlivePrograms(request: AliveRequest): Promise<Outcome<AliveReply>> {
    const confirmed = await this.#confirmLeadership();
    if (confirmed.err) return confirmed;
    const alive = request.programIds.filter((programId) => {
      const program = this.#options.state.find(programId);
      if (program === undefined) return false;
      return program.ended === undefined || program.openCalls.length > 0;
    });
    return Ok({ alive });
  }

  /**
   * Runs a call, or attaches to it if it is already running, and waits for its
   * recorded end.
   */
  async runCall(
    request: RunCallRequest,
    context: CallContext<RunCallEvent>,
  ): Promise<Outcome<RunCallReply>> {
    const accepted = await this.#acceptor.accept(
      request,
      (event) => context.sendChunk(event),
    );
    if (accepted.err) return accepted;
    const { program, call, early } = accepted.val;
    if (call.state === CALL_STATES.ENDED) {
      return createRecordedReply(program, call);
    }
    if (this.#leadership.signal.aborted) {
      return fail(
        RESULT_CODES.LEADERSHIP_LOST,
        "Another replica owns the program now",
      );
    }
    const start = { program, call, told: request.told, early };
    const runner = this.#startRunner(start, "send");
    runner.listeners.add({
      stream: request.stream,
      signal: context.signal,
      sendChunk: (event) => context.sendChunk(event),
    });
    return await runner.listeners.end;
  }

  /** Passes the text that a caller received from a lost attempt to the call. */
  receiveDeliveredText(told: DeliveredText): Outcome<Record<string, never>> {
    const runner = this.#runners.get(formatCallKey(told));
    runner?.listeners.setDeliveredText(told.text);
    return Ok({});
  }

  #startRunner(start: CallStart, dispatch: "send" | "recover"): CallRunner {
    const { program, call } = start;
    const key = formatCallKey({
      programId: program.programId,
      requestId: call.requestId,
    });
    const known = this.#runners.get(key);
    if (known !== undefined) return known;
    const runner = new CallRunner(this.#createCallOwner(), start);
    this.#runners.set(key, runner);
    void this.#runToEnd(runner, { key, program, dispatch });
    return runner;
  }

  async #runToEnd(
    runner: CallRunner,
    task: {
      readonly key: string;
      readonly program: ProgramRecord;
      readonly dispatch: "send" | "recover";
    },
  ): Promise<void> {
    await runner.run(task.dispatch);
    if (this.#runners.get(task.key) === runner) this.#runners.delete(task.key);
    this.#wakeNextCall(task.program);
    if (task.program.ended !== undefined) this.#releaseCaches(task.program);
  }

  #wakeNextCall(program: ProgramRecord): void {
    const next = program.openCalls[0];
    if (next === undefined) return;
    const key = formatCallKey({
      programId: program.programId,
      requestId: next,
    });
    this.#runners.get(key)?.wake();
  }

  #createCallOwner(): CallOwner {
    const { group, placement, limits, logger, metrics } = this.#options;
    return {
      group,
      term: this.#term,
      maxAttempts: limits.maxAttempts,
      placement,
      logger,
      metrics,
      signal: this.#leadership.signal,
      propose: (command) => this.#propose<CallRecord>(command),
    };
  }

  #getGroup(): ReplicatedGroup | undefined {
    return this.#options.getGroup();
  }

  async #propose<T>(command: ProgramCommand): Promise<Outcome<T>> {
    const group = this.#getGroup();
    if (group === undefined) {
      return fail(RESULT_CODES.NOT_LEADER, "The group has not started");
    }
    const applied = await group.propose(command, findUrgency(command));
    return applied.ok ? applied.val.result as Outcome<T> : applied;
  }

  async #confirmLeadership(): Promise<Outcome<void>> {
    const group = this.#getGroup();
    if (group === undefined) {
      return fail(RESULT_CODES.NOT_LEADER, "The group has not started");
    }
    return await group.confirmLeadership();
  }

  async #findProgram(
    request: ReadProgramRequest,
  ): Promise<Outcome<ProgramRecord>> {
    const confirmed = await this.#confirmLeadership();
    if (confirmed.err) return confirmed;
    const program = this.#options.state.findOwned(
      request.programId,
      request.outfit,
    );
    if (program !== undefined) return Ok(program);
    return fail(RESULT_CODES.PROGRAM_NOT_FOUND, "The program does not exist");
  }

  async #endProgram(
    program: ProgramRecord,
    reason: EndReason,
  ): Promise<Outcome<ProgramView>> {
    const ended = await this.#propose<ProgramRecord>({
      type: "end_program",
      now: Date.now(),
      programId: program.programId,
      reason,
    });
    if (ended.err) return ended;
    this.#cancelTree(ended.val);
    return Ok(viewProgram(ended.val));
  }

  #cancelTree(program: ProgramRecord): void {
    for (const requestId of program.openCalls) {
      const key = formatCallKey({ programId: program.programId, requestId });
      this.#runners.get(key)?.cancel();
    }
    this.#releaseCaches(program);
    for (const childId of program.children) {
      const child = this.#options.state.find(childId);
      if (child !== undefined) this.#cancelTree(child);
    }
  }

  #releaseCaches(program: ProgramRecord): void {
    const { directory } = this.#options;
    for (const address of directory.listCacheAddresses(program.programId)) {
      void directory.getClient(address).call(
        "cache.release",
        { programId: program.programId },
        { timeoutMilliseconds: CACHE_RELEASE_TIMEOUT_MILLISECONDS },
      );
    }
    directory.cache.removeProgram(program.programId);
  }
}

/**
 * Returns the urgency of a command for admission control. When more commands wait
 * than the group can commit in time, only new programs are rejected. Calls are
 * not: an early attempt may already have been sent, but a rejection guarantees
 * that the call did not run.
 */
function findUrgency(command: ProgramCommand): Urgency {
  const isNew = command.type === "create_program";
  return isNew ? URGENCIES.START : URGENCIES.FINISH;
}

function formatCallKey(
  key: { readonly programId: string; readonly requestId: string },
): string {
  return `${key.programId}/${key.requestId}`;
}

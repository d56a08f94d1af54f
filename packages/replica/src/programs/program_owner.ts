/** Owns the programs of one group while this replica leads it. */

import {
  ABORTED,
  type AliveReply,
  type AliveRequest,
  type CodedError,
  type CreateProgramRequest,
  END_REASONS,
  type EndProgramRequest,
  type EndReason,
  fail,
  type HistoryPage,
  isIdempotent,
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
  sleep,
  type ToldText,
} from "@mallowlift/core";
import type {
  LeadershipListener,
  ReplicatedGroup,
} from "@mallowlift/consensus";
import {
  type AttemptTarget,
  CALL_STATES,
  type CallRecord,
  checkNewCall,
  hasTreeEnded,
  type ProgramCommand,
  type ProgramRecord,
  type ProgramState,
  viewProgram,
} from "@mallowlift/programs";
import type { CallContext } from "@mallowlift/transport";
import { Err, Ok } from "ts-results";
import {
  type CallOwner,
  CallRunner,
  type CallStart,
  describeRecorded,
} from "../calls/call_runner.ts";
import { describeEvent, EarlyAttempt } from "../calls/dispatch.ts";
import type { Placement } from "../sidecars/placement.ts";
import type { SidecarDirectory } from "../sidecars/sidecar_directory.ts";

const SWEEP_MILLISECONDS = 500;
const RELEASE_MILLISECONDS = 1_000;

/** Limits that an owner keeps. */
export interface OwnerLimits {
  readonly maxAttempts: number;
  readonly callsPerProgram: number;
  readonly forgetMilliseconds: number;
}

/** What an owner needs. */
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

/** Serves the programs of one group. */
export class ProgramOwner implements LeadershipListener {
  readonly #options: ProgramOwnerOptions;
  readonly #runners = new Map<string, CallRunner>();
  /** Acceptances that are being committed, by program. */
  readonly #accepting = new Map<string, number>();
  #leading = new AbortController();
  #term = 0;

  constructor(options: ProgramOwnerOptions) {
    this.#options = options;
    this.#leading.abort(ABORTED);
  }

  /** Calls that are under way. */
  get openCalls(): number {
    return this.#runners.size;
  }

  /** Programs of the group, ended ones included. */
  get programCount(): number {
    return this.#options.state.size;
  }

  /** Takes over all open calls. */
  onLeading(term: number): void {
    this.#leading = new AbortController();
    this.#term = term;
    for (const program of this.#options.state.programs) {
      for (const requestId of program.openCalls) {
        const call = program.calls.get(requestId);
        if (call === undefined) continue;
        this.#startRunner({ program, call, told: "" }, "recover");
      }
    }
    void this.#sweep(this.#leading.signal);
  }

  /** Leaves all calls to the next owner. */
  onFollowing(): void {
    this.#leading.abort(ABORTED);
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
    const found = await this.#findConfirmed(request);
    return found.map(viewProgram);
  }

  /** Reads a part of a history. */
  async readHistory(
    request: ReadHistoryRequest,
  ): Promise<Outcome<HistoryPage>> {
    const found = await this.#findConfirmed(request);
    return found.map((program) => {
      const start = request.fromTurn - 1;
      const turns = program.history.slice(start, start + request.limit);
      return { program: viewProgram(program), turns };
    });
  }

  /** Ends a program and frees what engines keep for it. */
  async endProgram(request: EndProgramRequest): Promise<Outcome<ProgramView>> {
    const found = await this.#findConfirmed(request);
    if (found.err) return found;
    return await this.#end(found.val, request.reason);
  }

  /** Tells which programs engines should still keep memory for. */
  async listAlive(request: AliveRequest): Promise<Outcome<AliveReply>> {
    const confirmed = await this.#confirm();
    if (confirmed.err) return confirmed;
    const alive = request.programIds.filter((programId) => {
      const program = this.#options.state.find(programId);
      if (program === undefined) return false;
      return program.ended === undefined || program.openCalls.length > 0;
    });
    return Ok({ alive });
  }

  /** Runs a call, or joins it, and waits for its recorded end. */
  async runCall(
    request: RunCallRequest,
    context: CallContext<RunCallEvent>,
  ): Promise<Outcome<RunCallReply>> {
    const { programId, told } = request;
    const early = this.#startEarly(request, context);
    const accepted = await this.#accept(request, early?.plan.target);
    const call = accepted.ok ? accepted.val : undefined;
    if (call?.state !== CALL_STATES.DISPATCHED) early?.cancel();
    if (accepted.err) return accepted;
    const program = this.#options.state.find(programId);
    if (program === undefined || call === undefined) {
      return fail(RESULT_CODES.INTERNAL, "The program is gone");
    }
    if (call.state === CALL_STATES.ENDED) {
      return describeRecorded(program, call);
    }
    if (this.#leading.signal.aborted) {
      return fail(RESULT_CODES.LEADERSHIP_LOST, "Another replica owns it now");
    }
    const start = { program, call, told, early };
    const runner = this.#startRunner(start, "send");
    runner.listeners.add({
      stream: request.stream,
      signal: context.signal,
      sendChunk: (event) => context.sendChunk(event),
    });
    return await runner.listeners.end;
  }

  /** Takes the text that a caller was told of a lost attempt. */
  takeTold(told: ToldText): Outcome<Record<string, never>> {
    const runner = this.#runners.get(formatCallKey(told));
    runner?.listeners.takeTold(told.text);
    return Ok({});
  }

  /** Sends an idempotent call that nothing stands before, without waiting. */
  #startEarly(
    request: RunCallRequest,
    context: CallContext<RunCallEvent>,
  ): EarlyAttempt | undefined {
    const { state, placement, limits, group } = this.#options;
    const { programId, requestId, body, told } = request;
    const program = state.findOwned(programId, request.outfit);
    if (program === undefined || !isIdempotent(body)) return undefined;
    if (this.#getGroup()?.isLeading !== true) return undefined;
    const isIdle = program.openCalls.length === 0 &&
      !this.#accepting.has(programId);
    if (!isIdle || program.calls.has(requestId)) return undefined;
    const command = {
      now: Date.now(),
      openLimit: limits.callsPerProgram,
      body,
    };
    const find = (id: string) => state.find(id);
    if (checkNewCall(program, command, find).err) return undefined;
    const target = placement.place(program, body, []);
    if (target.err) return undefined;
    const early = new EarlyAttempt({
      group,
      term: this.#term,
      placement,
      program,
      requestId,
      body,
      attempt: 1,
      target: target.val,
      told,
    });
    context.sendChunk(describeEvent(early.plan, "dispatched"));
    return early;
  }

  async #accept(
    request: RunCallRequest,
    earlyTarget: AttemptTarget | undefined,
  ): Promise<Outcome<CallRecord>> {
    const target = earlyTarget ?? await this.#findFirstTarget(request);
    if (target instanceof Err) return target;
    const { programId, outfit, requestId, body } = request;
    const accepting = this.#accepting.get(programId) ?? 0;
    this.#accepting.set(programId, accepting + 1);
    const accepted = await this.#propose<CallRecord>({
      type: "accept_call",
      now: Date.now(),
      programId,
      outfit,
      requestId,
      body,
      openLimit: this.#options.limits.callsPerProgram,
      ...target === undefined ? {} : { target },
    });
    const others = (this.#accepting.get(programId) ?? 1) - 1;
    if (others === 0) this.#accepting.delete(programId);
    else this.#accepting.set(programId, others);
    return accepted;
  }

  /**
   * Places a new call before it is accepted, so that one commit does for
   * both; a call that no upstream serves is refused without any trace.
   */
  async #findFirstTarget(
    request: RunCallRequest,
  ): Promise<AttemptTarget | undefined | Err<CodedError>> {
    const { state, placement } = this.#options;
    const program = state.findOwned(request.programId, request.outfit);
    if (program === undefined) return undefined;
    if (program.calls.has(request.requestId)) return undefined;
    const target = placement.place(program, request.body, []);
    if (target.ok) {
      return program.openCalls.length === 0 ? target.val : undefined;
    }
    const confirmed = await this.#confirm();
    return confirmed.err ? confirmed : target;
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
    void this.#runCallTask(runner, { key, program, dispatch });
    return runner;
  }

  async #runCallTask(
    runner: CallRunner,
    task: {
      readonly key: string;
      readonly program: ProgramRecord;
      readonly dispatch: "send" | "recover";
    },
  ): Promise<void> {
    await runner.run(task.dispatch);
    if (this.#runners.get(task.key) === runner) this.#runners.delete(task.key);
    this.#wakeNext(task.program);
    if (task.program.ended !== undefined) this.#releaseCaches(task.program);
  }

  #wakeNext(program: ProgramRecord): void {
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
      signal: this.#leading.signal,
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
    const applied = await group.propose(command);
    return applied.ok ? applied.val.result as Outcome<T> : applied;
  }

  async #confirm(): Promise<Outcome<void>> {
    const group = this.#getGroup();
    if (group === undefined) {
      return fail(RESULT_CODES.NOT_LEADER, "The group has not started");
    }
    return await group.confirmLeadership();
  }

  async #findConfirmed(
    request: ReadProgramRequest,
  ): Promise<Outcome<ProgramRecord>> {
    const confirmed = await this.#confirm();
    if (confirmed.err) return confirmed;
    const program = this.#options.state.findOwned(
      request.programId,
      request.outfit,
    );
    if (program !== undefined) return Ok(program);
    return fail(RESULT_CODES.PROGRAM_NOT_FOUND, "There is no such program");
  }

  async #end(
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
    this.#stopTree(ended.val);
    return Ok(viewProgram(ended.val));
  }

  #stopTree(program: ProgramRecord): void {
    for (const requestId of program.openCalls) {
      const key = formatCallKey({ programId: program.programId, requestId });
      this.#runners.get(key)?.cancel();
    }
    this.#releaseCaches(program);
    for (const childId of program.children) {
      const child = this.#options.state.find(childId);
      if (child !== undefined) this.#stopTree(child);
    }
  }

  #releaseCaches(program: ProgramRecord): void {
    const { directory } = this.#options;
    for (const address of directory.listCacheAddresses(program.programId)) {
      void directory.findCaller(address).call(
        "cache.release",
        { programId: program.programId },
        { timeoutMilliseconds: RELEASE_MILLISECONDS },
      );
    }
    directory.cache.forgetProgram(program.programId);
  }

  /** Ends programs whose lease or deadline has run out, and forgets old ones. */
  async #sweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(SWEEP_MILLISECONDS, signal);
      for (const program of [...this.#options.state.programs]) {
        if (signal.aborted) return;
        await this.#sweepProgram(program, Date.now());
      }
    }
  }

  async #sweepProgram(program: ProgramRecord, now: number): Promise<void> {
    if (program.ended === undefined) {
      const reason = findEndReason(program, this.#options.state, now);
      if (reason !== undefined) await this.#end(program, reason);
      return;
    }
    const isOld =
      now - program.endedAt > this.#options.limits.forgetMilliseconds;
    const isRoot = program.spec.parent === undefined;
    const find = (programId: string) => this.#options.state.find(programId);
    if (!isOld || !isRoot || !hasTreeEnded(program, find)) return;
    await this.#propose({
      type: "forget_program",
      now,
      programId: program.programId,
    });
  }
}

/** Returns why a program should end now, if it should. */
export function findEndReason(
  program: ProgramRecord,
  state: Pick<ProgramState, "find">,
  now: number,
): EndReason | undefined {
  if (now >= program.deadlineAt) return END_REASONS.DEADLINE;
  if (isActive(program, state)) return undefined;
  const idle = now - findLastActivity(program, state);
  return idle > program.spec.leaseMilliseconds ? END_REASONS.LEASE : undefined;
}

function isActive(
  program: ProgramRecord,
  state: Pick<ProgramState, "find">,
): boolean {
  if (program.openCalls.length > 0) return true;
  for (const childId of program.children) {
    const child = state.find(childId);
    if (
      child !== undefined && child.ended === undefined && isActive(child, state)
    ) return true;
  }
  return false;
}

/** A program whose children work is not idle. */
function findLastActivity(
  program: ProgramRecord,
  state: Pick<ProgramState, "find">,
): number {
  let last = program.lastActivityAt;
  for (const childId of program.children) {
    const child = state.find(childId);
    if (child !== undefined) {
      last = Math.max(last, findLastActivity(child, state));
    }
  }
  return last;
}

function formatCallKey(
  key: { readonly programId: string; readonly requestId: string },
): string {
  return `${key.programId}/${key.requestId}`;
}
